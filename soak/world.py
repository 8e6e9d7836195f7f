"""Upstreams and callers of the soak, and the invariants that they check."""
import asyncio
import collections
import random
import socket
import time

import wire

RECOVERY_S = 4.0
DRAIN_S = 3.0
WITHDRAW_S = 5.0
COLD_LIMIT = 5
RETRANSMIT_AT_S = (0.2, 0.6)
EXCHANGE_TIMEOUT_S = 1.4
# What an upstream works on at once, how many requests it queues, and how long
# it works on one.
SLOTS = 2
QUEUE_LIMIT = 8
WORK_S = 0.03
# An answer that refuses a request is short; every other one is longer.
ANSWER = b"a" * 300
REFUSAL = b"r" * 150


def ip_to_int(address):
    return int.from_bytes(socket.inet_aton(address), "big")


class Invariants:
    """Collects the violations of invariants, each as a line with its time."""

    def __init__(self, started):
        self.started = started
        self.violations = []

    def report(self, name, text):
        line = f"{time.monotonic() - self.started:7.3f} s  {name}: {text}"
        self.violations.append(line)
        print(line, flush=True)


class ServedFlow:
    """A flow at its upstream."""

    def __init__(self, expected):
        self.seq = random.getrandbits(31)
        self.expected = expected
        self.is_open = False
        self.last_answer = None


class Upstream(asyncio.DatagramProtocol):
    """One lifetime of an upstream."""

    def __init__(self, world, name, address, service, zone, cold_s=0.0):
        self.world, self.name, self.address = world, name, address
        self.service, self.zone, self.cold_s = service, zone, cold_s
        self.started = time.monotonic()
        self.started_at_ms = int(time.time() * 1000)
        self.wire_id = int(name.split("-")[1], 16)
        self.flows = {}
        self.closed = set()
        self.openings = collections.deque()
        self.draining_since = None
        self.unresponsive_since = None
        self.stopped_since = None
        self.is_registered = True
        self.sequence = 0
        self.active = 0
        self.queue = collections.deque()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.address)
        self.report("ready")

    def report(self, state):
        left = max(0.0, self.cold_s - (time.monotonic() - self.started))
        self.sequence += 1
        reported_ms = 0 if self.world.mutation == "cold" else int(left * 1000)
        spec = {"service": self.service, "zone": self.zone, "version": "v1",
                "address": "%s:%d" % self.address, "slots": 2, "state": state,
                "warmupLeftMs": reported_ms, "sequence": self.sequence,
                "born": self.started_at_ms}
        self.world.store.put("servers", self.name, spec)

    def drain(self):
        self.draining_since = time.monotonic()
        self.report("draining")

    def stop(self):
        self.stopped_since = time.monotonic()
        self.flows.clear()
        self.transport.close()

    def stop_responding(self):
        self.unresponsive_since = time.monotonic()

    def datagram_received(self, datagram, source):
        if self.unresponsive_since:
            return
        (wire_id,) = wire.WIRE_ID.unpack_from(datagram)
        if wire_id not in (0, self.wire_id):
            return
        packet, is_intact = wire.decode(datagram[wire.WIRE_ID.size:])
        if not is_intact:
            self.world.invariants.report("altered",
                                         f"{self.name} got {packet}")
        if packet.flags & wire.SYN:
            self.on_opening(packet, source[0])
        else:
            self.on_packet(packet)

    def on_opening(self, packet, via):
        key = packet.flow()
        if key not in self.flows:
            self.flows[key] = ServedFlow(packet.seq + 1)
            self.world.check_opening(self, packet, via)
        flow = self.flows[key]
        if not flow.is_open:
            self.reply(packet, wire.SYN | wire.ACK, flow.seq, flow.expected)

    def on_packet(self, packet):
        key = packet.flow()
        if key not in self.flows:
            if not packet.flags & wire.RST and key not in self.closed:
                self.reply(packet, wire.RST, packet.ack, packet.seq)
            return
        flow = self.flows[key]
        if not flow.is_open:
            flow.is_open = True
            flow.seq += 1
        caller = self.world.caller_of(packet)
        if caller:
            caller.record_upstream(packet.sport, self)
        if packet.data:
            self.on_data(flow, packet)
        if packet.flags & wire.FIN:
            self.closed.add(key)
            del self.flows[key]

    def on_data(self, flow, packet):
        if packet.seq == flow.expected:
            flow.expected += len(packet.data)
            flow.last_answer = None
            if len(self.queue) >= QUEUE_LIMIT:
                self.world.count("refused_by_upstream")
                self.answer(flow, packet, REFUSAL)
            else:
                self.queue.append((flow, packet))
                self.start_queued()
        elif flow.last_answer:
            self.reply(packet, wire.ACK, *flow.last_answer)

    def start_queued(self):
        while self.active < SLOTS and self.queue:
            self.active += 1
            asyncio.get_running_loop().call_later(WORK_S, self.finish,
                                                  *self.queue.popleft())

    def finish(self, flow, packet):
        self.active -= 1
        if not (self.stopped_since or self.unresponsive_since):
            self.answer(flow, packet, ANSWER)
        self.start_queued()

    def answer(self, flow, packet, data):
        flow.last_answer = (flow.seq, flow.expected, data)
        self.reply(packet, wire.ACK, *flow.last_answer)
        flow.seq += len(data)

    def reply(self, packet, flags, seq, ack, data=b""):
        answer = wire.Packet(flags, packet.dst, packet.dport, packet.src,
                             packet.sport, seq & 0xFFFFFFFF, ack, packet.tag,
                             data)
        to = socket.inet_ntoa(packet.src.to_bytes(4, "big"))
        self.transport.sendto(answer.encode(), (to, self.world.port))


class Flow:
    def __init__(self, service):
        self.service = service
        self.started = time.monotonic()
        self.answered = asyncio.Event()
        self.reset = False
        self.refused = False
        self.upstream = None
        self.next_seq = 1001
        self.ack = 0
        self.tag = 0
        self.is_open = False


class Caller(asyncio.DatagramProtocol):
    """One caller address with its flows."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.address_int = ip_to_int(address)
        self.flows = {}
        self.next_port = 1024

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.port))

    def record_upstream(self, sport, upstream):
        flow = self.flows.get(sport)
        if flow and flow.upstream is None:
            flow.upstream = upstream
        elif flow and flow.upstream is not upstream:
            self.world.invariants.report("turned_aside",
                                         f"flow {self.address}:{sport}")

    def datagram_received(self, datagram, source):
        packet, _ = wire.decode(datagram)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if packet.flags & wire.RST:
            if wire.is_system_reset(datagram):
                self.world.check_reset(self, flow, packet.dport, source[0])
            flow.reset = True
        elif packet.flags & wire.SYN and flow.is_open:
            # A second upstream answered a retransmitted opening packet.
            # Whether real callers take its tag is an open question of
            # docs/design/platform.md; this caller keeps the first tag.
            return
        else:
            flow.tag = packet.tag
            is_next = not flow.is_open or packet.data
            flow.ack = packet.seq + max(1, len(packet.data))
            flow.refused = packet.data == REFUSAL
            flow.is_open = True
            if not is_next:
                return
        flow.answered.set()

    def send(self, sport, flow, flags, seq, ack, data=b""):
        packet = wire.Packet(flags, self.address_int, sport, *flow.service,
                             seq, ack & 0xFFFFFFFF, flow.tag, data)
        instance = self.world.route(packet)
        if instance:
            self.transport.sendto(packet.encode(), (instance, self.world.port))

    async def exchange(self, send, flow):
        """Sends and retransmits a packet; returns whether it was answered."""
        flow.answered.clear()
        started = time.monotonic()
        for transmission, until in enumerate((*RETRANSMIT_AT_S,
                                              EXCHANGE_TIMEOUT_S)):
            send(transmission)
            left = until - (time.monotonic() - started)
            try:
                await asyncio.wait_for(flow.answered.wait(), max(left, 0.001))
                return not flow.reset
            except asyncio.TimeoutError:
                continue
        return False

    async def run_flow(self, service, requests, pause_s, label=""):
        """Opens a flow, sends requests on it, and counts the results under
        names that begin with label.

        Returns how many of the requests were answered."""
        answered = 0
        sport = self.next_port = 1024 + (self.next_port - 1023) % 60000
        flow = self.flows[sport] = Flow(service)
        succeeded = await self.exchange(
            lambda transmission: self.send(sport, flow, wire.SYN, 1000,
                                           transmission), flow)
        self.world.count(label + ("opened" if succeeded else "not_opened"))
        for _ in range(requests if succeeded else 0):
            if not await self.exchange(
                    lambda _: self.send(sport, flow, wire.ACK, flow.next_seq,
                                        flow.ack, b"request"), flow):
                self.world.count(label + "broken")
                break
            flow.next_seq += len(b"request")
            if flow.refused:
                break
            answered += 1
            self.world.count(label + "answered")
            await asyncio.sleep(pause_s)
        self.send(sport, flow, wire.FIN | wire.ACK, flow.next_seq, flow.ack)
        await asyncio.sleep(0.05)
        del self.flows[sport]
        return answered
