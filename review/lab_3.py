"""Stand-ins for the cases of this review: store, hosts, consumers and routers.

They follow PROTOCOL.md and DEPLOY.md. The only program of the project that a
case starts is target/boragebridge_edge, with the command of deploy/system.toml.
All addresses are loopback addresses, drawn at random for each run.
"""
import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST = 128, 2, 4, 1
HEADER = struct.Struct(">BBIHHIIIIHI")
WIRE_ID = struct.Struct(">Q")
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
HEARTBEAT_S = 1.2
# No case plays for longer; the rest of two minutes is for start and end.
PLAY_LIMIT_S = 105
# A consumer sends its SYN again at these times and gives up at the last one.
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
RESET_WINDOW = 76_800
READY_INTERVAL_S = 0.5
READY_MISSES = 2
# The bounds of the small deployments, cenacolo-bridge and shared-seats-tw.
BOUNDS = dict(seedLagS=3, reuseAfterS=2, stabilityWindowMs=4000, ackMs=5000,
              catchUpS=4, drainMs=3000, graceS=6, lossSlackMs=200,
              applyMs=3000, backMs=250, stretchMs=12000, warmupFactor=1.5,
              coldSlack=5, evacuateMs=5000, recoveryS=12, reorderMs=2000,
              flowTtlS=60)


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def to_int(address):
    return int.from_bytes(bytes(int(it) for it in address.split(".")), "big")


def checksum(fields):
    """A keyed sum over all fields that nobody but the two ends may write."""
    return zlib.crc32(repr(("secret",) + fields).encode()) or 1


@dataclasses.dataclass
class Packet:
    flags: int
    src: int
    sport: int
    dst: int
    dport: int
    seq: int = 0
    ack: int = 0
    echo: int = 0
    data: bytes = b""

    def signed(self):
        return (self.flags, self.src, self.sport, self.dst, self.dport,
                self.seq, self.ack, self.data)

    def encode(self):
        return HEADER.pack(self.flags, 0, self.src, self.sport, self.dport,
                           self.dst, self.seq, self.ack, self.echo,
                           len(self.data), checksum(self.signed())) + self.data


def decode(datagram):
    """Returns the packet and the sum that it carries."""
    flags, _, src, sport, dport, dst, seq, ack, echo, length, total = (
        HEADER.unpack_from(datagram))
    data = bytes(datagram[HEADER.size:HEADER.size + length])
    return Packet(flags, src, sport, dst, dport, seq, ack, echo, data), total


class Store:
    """The platform's store: linearizable, never loses what it acknowledged."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        # Addresses at which the store answers nothing.
        self.silent = set()
        # The age of what a call with allowStale=1 reads.
        self.stale_s = 0.0
        # (time, revision, objects), the oldest copy first.
        self.copies = [(0.0, self.revision, {})]
        # (address, kind): the next watch there that has events to answer is
        # done, and its answer lost; the connection returns nothing further.
        self.lose_watch_answer = set()
        self.servers = []

    def put(self, kind, name, spec):
        """Creates or replaces an object; no change, no new revision."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        if old is not None and kind == "servers" and (
                dict(old["spec"], sequence=0) == dict(spec, sequence=0)):
            # An entry changes when more than its sequence does.
            return old
        self.revision += 1
        created = old["meta"]["created"] if old else self.revision
        item = {"meta": {"name": name, "revision": self.revision,
                         "created": created, "finalizers": [],
                         "deletion": False}, "spec": spec, "status": None}
        self.objects[(kind, name)] = item
        self._notify(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        self._notify(kind, item, True)

    def _notify(self, kind, item, deleted):
        item = dict(item, meta=dict(item["meta"], revision=self.revision))
        self.events.append((kind, self.revision,
                            {"deleted": deleted, "object": item}))
        self.copies.append((time.monotonic(), self.revision,
                            dict(self.objects)))
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self, address, port):
        self.servers.append(
            await asyncio.start_server(self._serve, address, port))

    async def _serve(self, reader, writer):
        try:
            at = writer.get_extra_info("sockname")[0]
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            method, target, _ = head[0].split(" ")
            length = [int(it.split(":")[1]) for it in head
                      if it.lower().startswith("content-length:")]
            body = await reader.readexactly(length[0]) if length else b""
            if at in self.silent:
                await reader.read()
                return
            status, answer = await self._answer(method, target, body)
            await asyncio.sleep(STORE_ANSWER_S)
            if at in self.silent:
                # As for any answer that is lost: nothing further.
                await reader.read()
                return
            lost = (at, target.split("?")[0].split("/")[-1])
            if answer.get("events") and "allowStale" not in target and (
                    lost in self.lose_watch_answer):
                self.lose_watch_answer.remove(lost)
                self.record.write(f"the answer to a watch of {lost[1]} is lost "
                                  f"at {at}")
                await reader.read()
                return
            text = json.dumps(answer).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                         b"Content-Length: %d\r\nConnection: close\r\n\r\n%s"
                         % (status, len(text), text))
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[2:]]
        kind = parts[0]
        if query.get("allowStale") == "1":
            return 200, self._stale(kind, query)
        if method == "GET" and len(parts) == 1 and "watch" in query:
            return await self._watch(kind, int(query["watch"]),
                                     int(query.get("waitMs", 0)) / 1000)
        if method == "GET" and len(parts) == 1:
            return 200, self._list(kind, query.get("after", ""))
        if method == "POST":
            item = json.loads(body)
            key = (kind, item["meta"]["name"])
            if key in self.objects:
                return 409, self.objects[key]
            return 200, self.put(*key, item["spec"])
        key = (kind, "/".join(parts[1:]))
        old = self.objects.get(key)
        if old is None:
            return 404, {}
        if method == "GET":
            return 200, old
        item = json.loads(body) if body else {}
        wanted = query.get("revision", item.get("meta", {}).get("revision"))
        if wanted is not None and int(wanted) != old["meta"]["revision"]:
            return 409, old
        if method == "DELETE":
            self.delete(*key)
            return 200, old
        if item["spec"] == old["spec"]:
            return 200, old
        return 200, self.put(*key, item["spec"])

    def _list(self, kind, after):
        return self._page(kind, after, self.objects, self.revision)

    @staticmethod
    def _page(kind, after, objects, revision):
        items = [it for (k, name), it in sorted(objects.items())
                 if k == kind and name > after]
        return {"items": items[:PAGE_ITEMS],
                "hasMore": len(items) > PAGE_ITEMS, "atRev": revision}

    def _stale(self, kind, query):
        """The answer to a list, or a watch that doesn't wait, of old data."""
        until = time.monotonic() - self.stale_s
        _, revision, objects = [it for it in self.copies if it[0] <= until][-1]
        if "watch" not in query:
            return self._page(kind, query.get("after", ""), objects, revision)
        return {"events": [e for k, rev, e in self.events if k == kind
                           and int(query["watch"]) < rev <= revision],
                "atRev": revision}

    async def _watch(self, kind, after, wait_s):
        deadline = time.monotonic() + min(wait_s, 30)
        while True:
            events = [e for k, rev, e in self.events
                      if k == kind and rev > after]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class ServedFlow:
    def __init__(self, first):
        self.first = first
        self.seq = random.getrandbits(31)
        self.expected = (first + 1) & 0xffffffff
        self.open = False
        self.answers = {}


class Host(asyncio.DatagramProtocol):
    """One lifetime of a host. It answers each request with its own id."""

    def __init__(self, world, name, service, zone, address, port, cold_s):
        self.world, self.name, self.service = world, name, service
        self.cold_s, self.started = cold_s, time.monotonic()
        self.zone, self.address, self.port = zone, address, port
        self.wire_id = int(name.split("-")[-1], 16)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.flows = {}
        self.opened = {}
        self.ran = []
        self.draining = False
        self.resets = set()
        self.transport = None

    async def start(self):
        self.transport, _ = (
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, local_addr=(self.address, self.port)))
        self.report()
        self.reports = asyncio.create_task(self._report_always())

    def stop(self):
        """Ends as in a crash: the host says nothing and forgets its flows."""
        self.reports.cancel()
        self.transport.close()

    def _warmup_left_ms(self):
        left = self.cold_s - (time.monotonic() - self.started)
        return int(max(left, 0) * 1000)

    async def _report_always(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.report()

    def report(self):
        self.sequence += 1
        self.world.store.put("servers", self.name, {
            "service": self.service, "address": f"{self.address}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 2,
            "state": "draining" if self.draining else "ready",
            "warmupLeftMs": self._warmup_left_ms(), "sequence": self.sequence, "born": self.born})

    def _send(self, flags, p, seq, ack, data=b""):
        out = Packet(flags, p.dst, p.dport, p.src, p.sport, seq, ack, p.echo,
                     data)
        self.transport.sendto(out.encode(), self.world.consumer_address(p.src))

    def datagram_received(self, datagram, source):
        wire_id, = WIRE_ID.unpack_from(datagram)
        if wire_id not in (0, self.wire_id):
            return
        p, total = decode(datagram[WIRE_ID.size:])
        if total != checksum(p.signed()):
            self.world.record.write(f"host {self.name} got a changed packet")
            return
        key = (p.src, p.sport, p.dst, p.dport)
        if p.flags & SYN:
            return self._on_syn(key, p)
        flow = self.flows.get(key)
        if flow is None or (not flow.open and p.ack != (flow.seq + 1)
                            & 0xffffffff):
            if not p.flags & RST:
                self.resets.add(key)
                self.world.record.write(
                    f"host {self.name} resets unknown flow {key[1]}")
                self._send(RST, p, p.ack, p.seq)
            return
        if not flow.open:
            flow.open = True
            self.opened[key] = time.monotonic()
            self.world.record.write(
                f"host {self.name} has flow {key[1]} open, echo {p.echo:08x}")
        if p.flags & RST:
            del self.flows[key]
            return
        if p.data:
            self._on_data(flow, key, p)

    def _on_syn(self, key, p):
        flow = self.flows.get(key)
        if flow is None or flow.first != p.seq:
            flow = self.flows[key] = ServedFlow(p.seq)
        self._send(SYN | ACK, p, flow.seq, (p.seq + 1) & 0xffffffff)

    def _on_data(self, flow, key, p):
        if p.seq in flow.answers:
            seq, ack, answer = flow.answers[p.seq]
            self._send(ACK, p, seq, ack, answer)
            return
        if p.seq != flow.expected:
            return
        flow.expected = (p.seq + len(p.data)) & 0xffffffff
        request = p.data.decode()
        self.ran.append(request)
        self.world.record.write(f"host {self.name} runs {request}")
        answer = f"200 {self.name} {request}".ljust(300).encode()
        if not flow.answers:
            flow.seq = (flow.seq + 1) & 0xffffffff
        flow.answers[p.seq] = (flow.seq, flow.expected, answer)
        self._send(ACK, p, flow.seq, flow.expected, answer)
        flow.seq = (flow.seq + len(answer)) & 0xffffffff


class Flow:
    """A flow of a consumer."""

    def __init__(self, consumer, port, route, node=None):
        self.consumer, self.port, self.route = consumer, port, route
        # Set: all packets go to this node, as the pages say of a few flows.
        self.node = node
        self.seq = random.getrandbits(31)
        self.last_ack = 0
        self.echo = 0
        self.is_open = False
        self.ended = None
        self.reset_by_system = False
        self.answer = None
        self.event = asyncio.Event()

    def send(self, flags, seq, ack, data=b""):
        self.consumer.send(self, Packet(
            flags, to_int(self.consumer.address), self.port,
            to_int(self.route[0]), self.route[1], seq, ack, self.echo, data))

    async def open(self):
        """Returns whether the flow was opened."""
        begin = time.monotonic()
        for n, until in enumerate(SYN_COPIES_S + (SYN_TIMEOUT_S,)):
            self.send(SYN, self.seq, n)
            await self._wait(begin + until - time.monotonic())
            if self.is_open or self.ended:
                break
        if not self.is_open:
            self.ended = self.ended or "no answer to the SYN"
        return self.is_open

    async def _wait(self, left):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(), max(left, 0.001))
        except asyncio.TimeoutError:
            pass

    async def request(self, name, limit_s):
        """Sends a request on the open flow. Returns the answer or None."""
        self.answer = None
        deadline = time.monotonic() + limit_s
        pause = FIRST_RETRANSMISSION_S
        data = name.encode()
        seq = self.seq
        self.consumer.world.record.write(
            f"consumer sends {name} on flow {self.port}")
        while time.monotonic() < deadline:
            self.send(ACK, seq, self.last_ack, data)
            until = min(time.monotonic() + pause, deadline)
            while (time.monotonic() < until and self.answer is None
                   and not self.ended):
                await self._wait(until - time.monotonic())
            if self.answer is not None or self.ended:
                break
            pause = min(pause * 2, LONGEST_RETRANSMISSION_S)
        self.seq = (seq + len(data)) & 0xffffffff
        return self.answer

    def on_packet(self, p, is_system):
        if self.ended:
            return
        if p.flags & RST:
            gap = (p.seq - self.last_ack + (1 << 31)) % (1 << 32) - (1 << 31)
            if self.is_open and abs(gap) > RESET_WINDOW:
                return
            self.ended = "reset by the system" if is_system else (
                "reset by the host")
            self.reset_by_system = is_system
            self.consumer.world.record.write(
                f"consumer: flow {self.port} {self.ended}")
        elif p.flags & SYN:
            self.echo = p.echo
            if not self.is_open:
                self.is_open = True
                self.seq = (self.seq + 1) & 0xffffffff
                self.last_ack = (p.seq + 1) & 0xffffffff
                self.send(ACK, self.seq, self.last_ack)
        elif p.data:
            self.echo = p.echo
            if p.seq == self.last_ack:
                self.last_ack = (p.seq + len(p.data)) & 0xffffffff
                self.answer = p.data.decode().strip()
                self.consumer.world.record.write(
                    f"consumer gets '{self.answer}' on flow {self.port}")
                self.send(ACK, (p.ack) & 0xffffffff, self.last_ack)
        self.event.set()


class Consumer(asyncio.DatagramProtocol):
    def __init__(self, world, zone, address, port):
        self.world, self.zone, self.address, self.port = (
            world, zone, address, port)
        self.flows = {}
        self.next_port = random.randint(20000, 40000)

    async def start(self):
        self.transport, _ = (
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, local_addr=(self.address, self.port)))

    def flow(self, route, node=None):
        self.next_port += 1
        flow = Flow(self, self.next_port, route, node)
        self.flows[flow.port] = flow
        return flow

    def send(self, flow, p):
        node = flow.node or self.world.route_to(
            self.zone, (p.src, p.sport, p.dst, p.dport))
        if node is not None:
            self.transport.sendto(p.encode(),
                                  (node.address, self.world.packet_port))

    def datagram_received(self, datagram, source):
        p, total = decode(datagram)
        flow = self.flows.get(p.dport)
        is_system = bool(p.flags & RST) and total == 0
        if flow is None:
            return
        if not is_system and total != checksum(p.signed()):
            self.world.record.write("consumer got a changed packet")
            return
        flow.on_packet(p, is_system)

    def error_received(self, error):
        pass


class Node:
    """A machine with one process of the role in deploy/system.toml."""

    def __init__(self, world, name, zone, address):
        self.world, self.name, self.zone, self.address = (
            world, name, zone, address)
        # Each node reaches the store at an address of its own, so that the
        # store can turn away one of them.
        self.store_address = address.rsplit(".", 1)[0] + "." + str(
            int(address.rsplit(".", 1)[1]) + 40)
        self.process = None
        self.in_rotation = False
        self.misses = READY_MISSES
        self.settings = world.folder / f"{name}.conf"
        self.log = None
        self.first = True

    def write_settings(self):
        w = self.world
        lines = dict(
            nodeName=self.name, role="edge", machineClass="front",
            serves="front,control", ip=self.address, zone=self.zone,
            region=w.region)
        lines.update({f"zones.{it}": w.region for it in w.zones})
        lines.update({
            "listen.datagramAddr": f"{self.address}:{w.packet_port}",
            "listen.readyAddr": f"{self.address}:{w.ready_port}",
            "listen.control": f"{self.address}:{w.control_port}",
            "portRange": f"{w.control_port + 10},{w.control_port + 25}",
            "seeds": ",".join(f"{it.address}:{w.control_port}"
                              for it in w.nodes[:3]),
            "bootstrap": "true" if self.first else "false",
            "countsAsLoss": "false", "limits.cpuShare": 0.25,
            "limits.cores": 1, "limits.memoryMb": 260, "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0, "limits.diskMb": 0,
            "discovery": "platform", "entry": "announce", "heartbeatMs": 1200,
            "contracts": "base,drain,config,cost,recover,flows,places,platform",
            "faultTolerance.machines": 2, "faultTolerance.zones": 1,
            "faultTolerance.regions": 0, "hash": "mod", "forwardMode": "echo",
            "platform.address": f"{self.store_address}:{w.store_port}",
            "platform.forwardMode": "objects", "platform.writesPerS": 400,
            "platform.readsPerS": 2000, "platform.retentionS": 20,
            "platform.valueBytes": 1048576, "platform.minTtlMs": 1000})
        lines.update({f"bounds.{k}": v for k, v in BOUNDS.items()})
        self.settings.write_text(
            "".join(f"{k}={v}\n" for k, v in lines.items()))

    async def start(self):
        self.write_settings()
        self.first = False
        if self.log is None:
            self.log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.world.command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C.UTF-8",
                 "BORAGEBRIDGE_NODE_FILE": str(self.settings)})
        self.world.record.write(f"{self.name} started")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self, number, grace_s=BOUNDS["graceS"]):
        """Sends signal number, SIGKILL after grace_s, and waits."""
        if not self.is_running():
            return
        self.world.record.write(f"{self.name} gets signal {number}")
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.world.record.write(f"{self.name} has ended")

    async def restart(self, number, pause_s):
        await self.end(number)
        await asyncio.sleep(pause_s)
        await self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                self.address, self.world.ready_port), 0.4)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def check_rotation(self):
        """The router's checks, for as long as the case runs."""
        while True:
            if await self.is_ready():
                self.misses = 0
                self.in_rotation = True
            else:
                self.misses += 1
                if self.misses >= READY_MISSES:
                    self.in_rotation = False
            await asyncio.sleep(READY_INTERVAL_S)


class World:
    """A small deployment in one region."""

    def __init__(self, zones, nodes_per_zone, record, folder):
        """nodes_per_zone has a number for each of zones."""
        self.record = record
        self.folder = pathlib.Path(folder)
        self.region = "region"
        self.zones = zones
        self.store = Store(record)
        base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.base = base
        port = random.randrange(21000, 60000, 40)
        self.packet_port, self.ready_port = port, port + 1
        self.control_port, self.store_port = port + 2, port + 3
        self.host_port = port + 4
        self.command = shlex.split(tomllib.loads(
            (ROOT / "deploy/system.toml").read_text())["roles"]["edge"]["run"])
        self.nodes = []
        self.hosts = []
        self.next_host = 100
        for zone, count in zip(zones, nodes_per_zone):
            for n in range(count):
                self.nodes.append(Node(self, f"front-{zone}-{n + 1}", zone,
                                       f"{base}.{10 + len(self.nodes)}"))
        self.checks = []
        self.version = 0
        self.routes = {}
        self.services = []
        self.warmup_per_s = 0.0

    def consumer_address(self, number):
        return (".".join(str(b) for b in number.to_bytes(4, "big")),
                self.packet_port)

    def route_to(self, zone, key):
        """The node to which the routers send the packets of a flow."""
        local = [it for it in self.nodes if it.zone == zone]
        ready = [it for it in local if it.in_rotation]
        if not ready:
            pool = [it for it in self.nodes if it.in_rotation]
        elif 2 * len(ready) < len(local):
            pool = local
        else:
            pool = ready
        if not pool:
            return None
        return pool[zlib.crc32(repr(key).encode()) % len(pool)]

    async def start(self):
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        for it in self.nodes:
            await self.store.start(it.store_address, self.store_port)
        for it in self.nodes:
            await it.start()
            self.checks.append(asyncio.create_task(it.check_rotation()))

    async def until_ready(self, limit_s=15):
        deadline = time.monotonic() + limit_s
        while not all(it.in_rotation for it in self.nodes):
            if time.monotonic() > deadline:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.1)

    async def add_host(self, name, service, zone, address=None, cold_s=0.0):
        if address is None:
            self.next_host += 1
            address = f"{self.base}.{self.next_host}"
        host = Host(self, name, service, zone, address, self.host_port, cold_s)
        await host.start()
        self.hosts.append(host)
        self.record.write(f"host {name} of {service} starts at {address}")
        return host

    async def consumer(self, zone, number):
        it = Consumer(self, zone, f"{self.base}.{number}", self.packet_port)
        await it.start()
        return it

    def configure(self):
        """The operator writes the next version. Returns it."""
        self.version += random.randint(1, 3)
        routes = []
        for (host, port), (name, service, kind, timeout_ms) in (
                self.routes.items()):
            routes.append({"name": name, "host": host,
                           "pathPrefix": f"/{port}/", "kind": kind,
                           "timeoutMs": timeout_ms, "latencyTargetMs": 500,
                           "priority": 1, "service": service,
                           "maxAttempts": 2})
        services = [{"name": it, "healthPath": "/health", "maxConns": 2000,
                     "protocol": "h1", "tls": False, "warmupS": 2.0,
                     "warmupPerS": self.warmup_per_s} for it in self.services]
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        self.record.write(f"version {self.version} is acknowledged")
        return self.version

    async def stop(self):
        for it in self.checks:
            it.cancel()
        for it in self.nodes:
            if it.is_running():
                it.process.kill()
                await it.process.wait()


def main(case_folder, play, zones, nodes_per_zone):
    """Plays a case and exits as a script of the review must.

    play(world, trouble) returns the list of breaches of the rule.
    """
    folder = pathlib.Path(case_folder)
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        with tempfile.TemporaryDirectory() as tmp:
            world = World(zones, nodes_per_zone, record, tmp)
            try:
                await world.start()
                return await asyncio.wait_for(play(world, trouble),
                                              PLAY_LIMIT_S)
            finally:
                await world.stop()
                if os.environ.get("KEEP_LOGS"):
                    for it in pathlib.Path(tmp).glob("*.log"):
                        (pathlib.Path(os.environ["KEEP_LOGS"])
                         / it.name).write_bytes(it.read_bytes())

    try:
        breaches = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as e:
        record.write(f"the case could not run: {e!r}")
        print(f"could not run: {e!r}")
        sys.exit(2)
    for it in breaches:
        record.write(f"BROKEN: {it}")
        print(f"BROKEN: {it}")
    if not breaches:
        record.write("the rule held")
        print("the rule held")
    sys.exit(1 if breaches else 0)
