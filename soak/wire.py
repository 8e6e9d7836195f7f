"""Encodes and decodes the packets of the soak's callers and upstreams."""
import dataclasses
import struct
import zlib

SYN, ACK, FIN, RST = 128, 2, 4, 1
HEADER = struct.Struct(">BBIHHIIIIHI")
WIRE_ID = struct.Struct(">Q")


@dataclasses.dataclass
class Packet:
    """One packet; addresses are 32-bit numbers."""
    flags: int
    src: int
    sport: int
    dst: int
    dport: int
    seq: int = 0
    ack: int = 0
    tag: int = 0
    data: bytes = b""

    def checksum(self):
        """Returns the checksum of all that instances must not change.

        The tag is not included, since instances write it.
        """
        text = repr((self.flags, self.src, self.sport, self.dst, self.dport,
                     self.seq, self.ack, self.data))
        return zlib.crc32(text.encode()) or 1

    def encode(self):
        head = HEADER.pack(self.flags, 0, self.src, self.sport, self.dport,
                           self.dst, self.seq, self.ack, self.tag,
                           len(self.data), self.checksum())
        return head + self.data

    def flow(self):
        """Returns the key of the flow of a packet that its caller sent."""
        return (self.src, self.sport, self.dst, self.dport)


def decode(datagram):
    """Returns the packet and whether its checksum is correct."""
    fields = HEADER.unpack_from(datagram)
    flags, _, src, sport, dport, dst, seq, ack, tag, length, checksum = fields
    data = datagram[HEADER.size:HEADER.size + length]
    packet = Packet(flags, src, sport, dst, dport, seq, ack, tag, data)
    return packet, checksum == packet.checksum()


def is_system_reset(datagram):
    """Returns whether an instance, not an upstream, made this reset.

    Instances write 0 instead of a checksum.
    """
    fields = HEADER.unpack_from(datagram)
    return fields[0] == RST and fields[-1] == 0
