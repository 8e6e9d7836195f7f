"""Packets of callers and upstreams, as the soak's stand-ins speak them."""
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
        """Over all that the system may not change; the tag is left out."""
        text = repr((self.flags, self.src, self.sport, self.dst, self.dport,
                     self.seq, self.ack, self.data))
        return zlib.crc32(text.encode()) or 1

    def encode(self):
        head = HEADER.pack(self.flags, 0, self.src, self.sport, self.dport,
                           self.dst, self.seq, self.ack, self.tag,
                           len(self.data), self.checksum())
        return head + self.data

    def flow(self):
        """The flow's key, from its caller's side."""
        return (self.src, self.sport, self.dst, self.dport)


def decode(datagram):
    """Returns the packet and whether it is as its sender wrote it."""
    fields = HEADER.unpack_from(datagram)
    flags, _, src, sport, dport, dst, seq, ack, tag, length, checksum = fields
    data = datagram[HEADER.size:HEADER.size + length]
    packet = Packet(flags, src, sport, dst, dport, seq, ack, tag, data)
    return packet, checksum == packet.checksum()


def is_system_reset(datagram):
    """A reset that an instance made, not an upstream."""
    fields = HEADER.unpack_from(datagram)
    return fields[0] == RST and fields[-1] == 0
