"""Upstreams and callers of the soak, and the invariants that they check."""
import asyncio
import collections
import itertools
import random
import socket
import time

import wire

RECOVERY_S = 4.0
DRAIN_S = 3.0
WITHDRAW_S = 5.0
COLD_LIMIT = 5
# The ports of a caller.
FIRST_PORT = 1024
PORTS = 6
# The share of openings that an upstream answers late, how late, and when it
# sends the answer again until the flow is open.
LATE_SHARE = 0.03
LATE_S = 0.23
ANSWER_AGAIN_AFTER_S = (0.2, 0.4, 0.8, 1.6, 1.6)
# How far the number of a reset may be from what the caller has received.
RESET_WINDOW = 76_800
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


def is_near(a, b):
    """Whether two sequence numbers are within RESET_WINDOW of each other."""
    return (a - b + RESET_WINDOW) % (1 << 32) <= 2 * RESET_WINDOW


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

    def __init__(self, first_seq):
        self.first_seq = first_seq
        self.seq = random.getrandbits(31)
        self.expected = first_seq + 1
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
        # Since when its record is missing although it serves.
        self.missing_since = None
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
        (wire_id,) = wire.WIRE_ID.unpack_from(datagram)
        if wire_id not in (0, self.wire_id):
            return
        packet, is_intact = wire.decode(datagram[wire.WIRE_ID.size:])
        if self.unresponsive_since:
            self.mark_affected(packet)
            return
        if not is_intact:
            self.world.invariants.report("altered",
                                         f"{self.name} got {packet}")
        if packet.flags & wire.SYN:
            self.on_opening(packet, source[0])
        else:
            self.on_packet(packet)

    def on_opening(self, packet, via):
        key = packet.flow()
        if key not in self.flows or self.flows[key].first_seq != packet.seq:
            self.flows[key] = ServedFlow(packet.seq)
            self.world.check_opening(self, packet, via)
        flow = self.flows[key]
        is_late = packet.ack == 0 and random.random() < LATE_SHARE
        if is_late:
            self.mark_affected(packet)
        self.answer_opening(packet, flow, ((LATE_S,) if is_late else ()) +
                            ANSWER_AGAIN_AFTER_S, is_silent=is_late)

    def mark_affected(self, packet):
        """A fault of this upstream falls upon the flow of a packet."""
        caller = self.world.caller_of(packet)
        flow = caller and caller.flow_of(packet)
        if flow:
            flow.is_affected = True

    def answer_opening(self, packet, flow, pauses, is_silent=False):
        """Answers now, unless is_silent, and after each of the pauses, until the
        flow is open."""
        is_gone = self.stopped_since or self.unresponsive_since
        if is_gone or flow.is_open or (
                self.flows.get(packet.flow()) is not flow):
            return
        if not is_silent:
            self.reply(packet, wire.SYN | wire.ACK, flow.seq, flow.expected)
        if pauses:
            asyncio.get_running_loop().call_later(
                pauses[0], self.answer_opening, packet, flow, pauses[1:])

    def on_packet(self, packet):
        key = packet.flow()
        if key not in self.flows:
            # On a flow that has ended here, only data is answered.
            is_answered = packet.data or key not in self.closed
            if not packet.flags & wire.RST and is_answered:
                self.reply(packet, wire.RST, packet.ack, packet.seq)
            return
        flow = self.flows[key]
        if not flow.is_open:
            flow.is_open = True
            flow.seq += 1
        caller = self.world.caller_of(packet)
        if caller:
            caller.record_upstream(packet, self)
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
        self.first_seq = random.getrandbits(31)
        self.next_seq = self.first_seq + 1
        self.ack = 0
        self.tag = 0
        self.is_open = False
        # A fault of the soak fell upon the flow: an instance that was paused or
        # not running, or an upstream that did not answer or did so late.
        self.is_affected = False
        # Whether a packet of the flow was sent again.
        self.is_repeated = False

    def may_have(self, packet):
        """Whether a packet to the caller belongs to this flow, and not to an
        earlier one of the port."""
        if (packet.src, packet.sport) != self.service:
            return False
        if packet.flags & wire.RST:
            return not self.is_open or is_near(packet.seq, self.ack)
        return is_near(packet.ack, self.first_seq)


class Caller(asyncio.DatagramProtocol):
    """One caller address with its flows."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.address_int = ip_to_int(address)
        self.flows = {}
        self.next_port = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, self.world.port))

    def take_port(self):
        """A port without a flow. Few ports, so that each is soon used again;
        more only while all of these have flows."""
        for _ in range(PORTS):
            self.next_port = (self.next_port + 1) % PORTS
            if FIRST_PORT + self.next_port not in self.flows:
                return FIRST_PORT + self.next_port
        return next(port for port in itertools.count(FIRST_PORT + PORTS)
                    if port not in self.flows)

    def flow_of(self, packet):
        """The flow of a packet that this caller sent, or None."""
        flow = self.flows.get(packet.sport)
        # An instance that was paused may send packets of an earlier flow.
        return flow if flow and is_near(packet.seq, flow.first_seq) else None

    def record_upstream(self, packet, upstream):
        """The upstream has the flow of a packet that this caller sent."""
        flow = self.flow_of(packet)
        if flow and flow.upstream is None:
            flow.upstream = upstream
        elif flow and flow.upstream is not upstream:
            self.world.invariants.report("turned_aside",
                                         f"flow {self.address}:{packet.sport}")

    def datagram_received(self, datagram, source):
        packet, _ = wire.decode(datagram)
        flow = self.flows.get(packet.dport)
        if flow is None or not flow.may_have(packet):
            return
        if packet.flags & wire.RST:
            if wire.is_system_reset(datagram):
                self.world.check_reset(self, flow, packet.dport, source[0])
            else:
                self.world.check_foreign_reset(self, flow, packet.dport,
                                               source)
            flow.reset = True
        elif packet.flags & wire.SYN and flow.is_open:
            # An upstream answers the opening again, possibly another one. A
            # caller echoes the tag that it received last.
            flow.tag = packet.tag
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
            it = self.world.instance_at(instance)
            flow.is_affected = flow.is_affected or not it.is_running()
            self.transport.sendto(packet.encode(), (instance, self.world.port))

    async def exchange(self, send, flow):
        """Sends and retransmits a packet; returns whether it was answered."""
        flow.answered.clear()
        started = time.monotonic()
        for transmission, until in enumerate((*RETRANSMIT_AT_S,
                                              EXCHANGE_TIMEOUT_S)):
            flow.is_repeated = flow.is_repeated or transmission > 0
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

        Returns how many of the requests were answered, and the flow."""
        answered = 0
        sport = self.take_port()
        flow = self.flows[sport] = Flow(service)
        succeeded = await self.exchange(
            lambda transmission: self.send(sport, flow, wire.SYN,
                                           flow.first_seq, transmission), flow)
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
        return answered, flow
