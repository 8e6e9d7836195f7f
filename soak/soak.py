#!/usr/bin/env python3
"""Randomized fault soak of boragebridge_edge on loopback.

Runs real instances as processes between stand-ins of callers, upstreams and
the store, injects faults from outside, and checks the invariants meanwhile.

    soak/soak.py --edge build/boragebridge_edge --seed 1 --seconds 30

The last line of the output is a JSON object with the counts and the violated
invariants. The exit status is 1 if an invariant was violated. --break NAME
injects a deliberate fault, which the run has to detect.
"""
import argparse
import asyncio
import collections
import json
import os
import random
import signal
import sys
import tempfile
import time

import store as store_module
import wire
import world as world_module
from world import COLD_LIMIT, DRAIN_S, RECOVERY_S, WITHDRAW_S, ip_to_int

BURST_CALLERS = 60
URGENT_CALLERS = 12
MIN_BURST_REQUESTS = 150
MIN_LOST_SHARE = 0.1
MIN_AWAY_SHARE = 0.02
MUTATIONS = ("none", "reset", "drain", "stale", "cold", "starve")
SERVICES = {"booking": (ip_to_int("198.18.0.1"), 443),
            "uploads": (ip_to_int("198.18.0.2"), 8443)}
# A second, less urgent route to the service "booking".
PRICES = (ip_to_int("198.18.0.3"), 443)
URGENT, LESS_URGENT = 1, 2
ZONES = ("north", "south")


class Instance:
    """One edge process with its settings and its own listener of the store."""

    def __init__(self, soak, index):
        self.soak, self.index = soak, index
        self.name = f"edge-{index}"
        self.ip = f"127.1.{soak.net}.{index + 1}"
        self.zone = ZONES[index % len(ZONES)]
        self.listener = store_module.Listener(soak.store)
        self.store_port = soak.port + 1
        self.process = None
        self.is_ready = False
        self.failed_checks = 0
        # Invariants with a time bound do not apply to the instance until
        # RECOVERY_S after this time.
        self.affected_until = time.monotonic()
        self.is_expected_to_run = False
        # Held by the fault that is stopping and starting the process.
        self.lock = asyncio.Lock()

    def settings(self):
        soak = self.soak
        seeds = ",".join(f"{it.ip}:{soak.port + 3}"
                         for it in soak.instances[:3])
        return "\n".join((
            f"nodeName={self.name}", f"zone={self.zone}",
            f"listen.datagramAddr={self.ip}:{soak.port}",
            f"listen.readyAddr={self.ip}:{soak.port + 2}",
            f"listen.control={self.ip}:{soak.port + 3}",
            f"platform.address=127.4.{soak.net}.{self.index + 1}:"
            f"{self.store_port}",
            f"seeds={seeds}", "limits.cpuShare=0.25", "limits.cores=1",
            "bounds.warmupFactor=1.5", f"bounds.coldSlack={COLD_LIMIT}", ""))

    async def start(self):
        path = os.path.join(self.soak.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings())
        log = open(os.path.join(self.soak.folder, self.name + ".log"), "ab")
        self.mark_affected(0)
        self.process = await asyncio.create_subprocess_exec(
            self.soak.options.edge, stdout=log, stderr=log,
            env={"BORAGEBRIDGE_NODE_FILE": path, "PATH": os.environ["PATH"]})
        log.close()
        self.is_expected_to_run = True

    def mark_affected(self, duration_s):
        self.affected_until = max(self.affected_until,
                                  time.monotonic() + duration_s)

    def is_running(self):
        """Whether it is neither paused nor stopped."""
        return self.process.returncode is None and (
            time.monotonic() >= self.affected_until)

    def is_unaffected(self):
        return time.monotonic() - self.affected_until > RECOVERY_S

    async def end(self, signal_number):
        self.is_expected_to_run = False
        self.mark_affected(0)
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        await self.process.wait()

    def check(self):
        if self.is_expected_to_run and self.process.returncode is not None:
            self.is_expected_to_run = False
            self.soak.invariants.report(
                "ended_by_itself", f"{self.name}: {self.process.returncode}")


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.restores = random.Random(f"restores {options.seed}")
        self.bursts = random.Random(f"bursts {options.seed}")
        self.cuts = random.Random(f"cuts {options.seed}")
        # Each run uses its own ports and loopback networks.
        self.net = options.net if options.net else 1 + os.getpid() % 200
        self.port = 21000 + 10 * self.net
        self.mutation = options.mutation
        self.store = store_module.Store()
        self.invariants = world_module.Invariants(time.monotonic())
        self.instances = []
        self.callers = []
        self.upstreams = []
        self.withdrawn = {}
        self.withdrawal_ended = 0.0
        # When the withdrawal of a data centre ended.
        self.returned = {}
        self.counts = collections.Counter()
        self.next_id = 0x1000
        self.next_host = 0
        self.version = 1
        self.store_affected_until = 0.0
        self.tasks = []

    def count(self, what):
        self.counts[what] += 1

    # Called by the stand-ins of callers and upstreams.

    def route(self, packet):
        """Returns the address of the instance that the fabric chooses."""
        ready = [it for it in self.instances if it.is_ready]
        if len(ready) * 2 < len(self.instances):
            ready = self.instances
        return ready[hash(packet.flow()) % len(ready)].ip

    def caller_of(self, packet):
        return next((it for it in self.callers
                     if it.address_int == packet.src), None)

    def instance_at(self, ip):
        return next((it for it in self.instances if it.ip == ip), None)

    def was_store_unaffected(self, since):
        return self.store_affected_until < since - RECOVERY_S

    def check_opening(self, upstream, packet, via):
        if self.options.verbose:
            print("opening", upstream.name, via, packet.flow())
        instance = self.instance_at(via)
        caller = self.caller_of(packet)
        flow = caller and caller.flows.get(packet.sport)
        if instance is None or flow is None:
            return
        where = f"{upstream.name} from {instance.name}"
        allowed = [SERVICES[upstream.service]]
        if upstream.service == "booking":
            allowed.append(PRICES)
        if (packet.dst, packet.dport) not in allowed:
            self.invariants.report("wrong_service", where)
        self.check_cold(upstream, where)
        if not instance.is_unaffected():
            return
        requested = upstream.draining_since
        if requested and self.was_store_unaffected(requested) and (
                flow.started > requested + DRAIN_S):
            self.invariants.report("drain_ignored", where)
        missing = upstream.missing_since
        if missing and self.was_store_unaffected(missing) and (
                flow.started > missing + DRAIN_S):
            self.invariants.report("gone_used", where)
        requested = self.withdrawn.get(upstream.zone)
        if requested and self.was_store_unaffected(requested) and (
                flow.started > requested + WITHDRAW_S):
            self.invariants.report("withdrawal_ignored", where)

    def check_cold(self, upstream, where):
        now = time.monotonic()
        if now > upstream.started + upstream.cold_s:
            return
        upstream.openings.append(now)
        while upstream.openings[0] <= now - 1:
            upstream.openings.popleft()
        if len(upstream.openings) > COLD_LIMIT:
            self.invariants.report("cold_crushed", where)

    def check_reset(self, caller, flow, sport, source):
        host = flow.upstream
        if host is None or host.unresponsive_since or host.stopped_since:
            return
        self.invariants.report(
            "living_flow_reset",
            f"{caller.address}:{sport} on {host.name} by {source}")

    def check_foreign_reset(self, caller, flow, sport, source):
        host = flow.upstream
        if host is None or host.unresponsive_since or host.stopped_since or (
                host.address == source[:2]):
            return
        self.invariants.report(
            "flow_misrouted",
            f"{caller.address}:{sport} on {host.name}, reset by the upstream "
            f"at {source[0]}")

    # Set-up and load.

    async def start(self):
        self.put_configuration()
        for i in range(self.options.upstreams):
            service = "booking" if i % 4 else "uploads"
            await self.add_upstream(service, ZONES[(i + i // 4) % len(ZONES)],
                                    0.0)
        for i in range(self.options.instances):
            self.instances.append(Instance(self, i))
        for it in self.instances:
            await it.listener.start(f"127.4.{self.net}.{it.index + 1}",
                                    it.store_port)
            await it.start()
        for i in range(self.options.callers):
            caller = world_module.Caller(self, f"127.3.{self.net}.{i + 1}")
            await caller.start()
            self.callers.append(caller)
        self.spawn(self.watch_readiness())
        await asyncio.sleep(2)
        for caller in self.callers:
            self.spawn(self.run_caller(caller))

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def put_configuration(self):
        self.version += self.random.randint(1, 5)
        all_routes = [(name, name, address, URGENT)
                      for name, address in SERVICES.items()]
        all_routes.append(("prices", "booking", PRICES, URGENT if
                           self.mutation == "starve" else LESS_URGENT))
        routes = [{"name": name, "host": f"198.18.0.{address & 255}",
                   "pathPrefix": f"/{port}/", "kind": "idempotent",
                   "service": service, "timeoutMs": 2000,
                   "latencyTargetMs": 300, "priority": priority,
                   "maxAttempts": 1}
                  for name, service, (address, port), priority in all_routes]
        services = [{"name": name, "healthPath": "/health", "maxConns": 2000,
                     "warmupS": 2.0, "warmupPerS": 0.0} for name in SERVICES]
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"idleTimeoutMs": 15000}})

    async def add_upstream(self, service, zone, cold_s, address=None):
        self.next_id += 1
        if address is None:
            self.next_host += 1
            address = (f"127.2.{self.net}.{self.next_host}", self.port + 4)
        it = world_module.Upstream(self, f"i-{self.next_id:x}", address,
                                   service, zone, cold_s)
        await it.start()
        self.upstreams.append(it)
        return it

    async def run_caller(self, caller):
        while True:
            service = self.random.choice(list(SERVICES.values()))
            is_long = self.random.random() < 0.3
            # What no data centre can serve is refused at once, and asked for
            # again soon.
            label = "" if self.has_usable_zone() else "no_zone_"
            await caller.run_flow(service, 20 if is_long else 1,
                                  0.1 if is_long else 0.01, label)
            await asyncio.sleep(0.05)

    async def burst_repeatedly(self):
        """Bursts of less urgent requests, several times what the upstreams of
        "booking" can handle, with urgent ones among them."""
        while True:
            await asyncio.sleep(self.bursts.uniform(2, 5))
            self.count("burst")
            end = time.monotonic() + self.bursts.uniform(2, 4)
            await asyncio.gather(
                *(self.ask_until(end, PRICES, "prices")
                  for _ in range(BURST_CALLERS)),
                *(self.ask_until(end, SERVICES["booking"], "urgent")
                  for _ in range(URGENT_CALLERS)))

    async def ask_until(self, end, route, name):
        """Asks for one answer after the other, in a flow of its own each."""
        while time.monotonic() < end:
            caller = self.bursts.choice(self.callers)
            # While data centres are withdrawn, or cold after their return, a
            # service may have no upstream for any route.
            label = (f"burst_{name}_" if self.is_service_usable()
                     else f"withdrawn_{name}_")
            answered, flow = await caller.run_flow(route, 1, 0, label)
            # A fault falls upon any route alike, whatever load there is.
            if not flow.is_affected:
                self.count(label + "ended")
                if not answered:
                    self.count(label + "lost")
                if flow.reset and not flow.is_repeated:
                    self.count(label + "away")
            await asyncio.sleep(0.02)

    def has_usable_zone(self):
        """Whether a data centre is neither withdrawn nor cold after its
        return."""
        now = time.monotonic()
        return any(zone not in self.withdrawn and
                   now - self.returned.get(zone, float("-inf")) > RECOVERY_S
                   for zone in ZONES)

    def is_service_usable(self):
        return not self.withdrawn and (
            time.monotonic() - self.withdrawal_ended > RECOVERY_S)

    def check_bursts(self):
        """Urgent requests are lost at most half as often as the others, and
        turned away at once at most half as often."""
        ended, lost, away = (
            {name: self.counts[f"burst_{name}_{what}"]
             for name in ("urgent", "prices")}
            for what in ("ended", "lost", "away"))
        if min(ended.values()) < MIN_BURST_REQUESTS:
            return
        for what, counts, least in (("lost", lost, MIN_LOST_SHARE),
                                    ("away", away, MIN_AWAY_SHARE)):
            share = {name: counts[name] / ended[name] for name in ended}
            # Without losses among the others there was nothing to protect
            # from.
            if share["prices"] > least and (
                    share["urgent"] > share["prices"] / 2):
                self.invariants.report("urgent_starved", f"{what} {share}")

    async def watch_readiness(self):
        while True:
            for it in self.instances:
                it.check()
                if await self.is_answering_ready(it):
                    it.is_ready, it.failed_checks = True, 0
                else:
                    it.failed_checks += 1
                    it.is_ready = it.is_ready and it.failed_checks < 2
            await asyncio.sleep(0.5)

    async def is_answering_ready(self, instance):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(instance.ip, self.port + 2), 0.3)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.3)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    # Faults. Each function returns after its fault has ended.

    async def kill_instance(self):
        it = self.random.choice(self.instances)
        async with it.lock:
            await it.end(signal.SIGKILL)
            await asyncio.sleep(self.random.uniform(0.1, 2))
            await it.start()

    async def roll_instance(self):
        it = self.random.choice(self.instances)
        async with it.lock:
            await it.end(signal.SIGTERM)
            await it.start()

    async def pause_instance(self):
        it = self.random.choice(self.instances)
        duration_s = self.random.uniform(0.3, 4)
        async with it.lock:
            it.mark_affected(duration_s)
            it.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            it.process.send_signal(signal.SIGCONT)
            it.mark_affected(0)

    async def hurt_store(self):
        affected = self.instances if self.random.random() < 0.4 else (
            [self.random.choice(self.instances)])
        mode = self.random.choice(store_module.Listener.MODES[1:])
        duration_s = self.random.uniform(0.5, 5)
        self.store_affected_until = time.monotonic() + duration_s
        for it in affected:
            it.listener.mode = mode
        await asyncio.sleep(duration_s)
        for it in affected:
            it.listener.mode = "ok"
        self.store_affected_until = max(self.store_affected_until,
                                        time.monotonic())

    async def forget_history(self):
        self.store.forget_history()

    async def restore_store(self):
        """The store is away for a moment and comes back from an earlier copy;
        the upstreams and the operator write again what is lost."""
        away_s = self.restores.uniform(0.3, 2)
        self.count("restore_store")
        self.store_affected_until = max(self.store_affected_until,
                                        time.monotonic() + away_s)
        self.store.is_away = True
        await asyncio.sleep(away_s)
        self.store.restore(self.restores.uniform(1, 9))
        self.store.is_away = False
        self.store_affected_until = max(self.store_affected_until,
                                        time.monotonic())
        await asyncio.sleep(self.restores.uniform(0.2, 1.2))
        self.write_again()

    def write_again(self):
        self.put_configuration()
        for zone in ZONES:
            if zone in self.withdrawn:
                self.store.put("evacuations", zone, {})
            else:
                self.store.delete("evacuations", zone)
        for it in self.upstreams:
            if it.stopped_since:
                self.store.delete("servers", it.name)
            elif it.is_registered and not it.unresponsive_since:
                it.report("draining" if it.draining_since else "ready")

    async def restore_repeatedly(self):
        """A series of its own, so that a seed keeps its other faults."""
        while True:
            await asyncio.sleep(self.restores.uniform(6, 14))
            await self.restore_store()
            self.spawn(self.lose_record(self.restores))

    async def cut_watches_repeatedly(self):
        """What the store may do at any time; no instance counts as affected."""
        while True:
            await asyncio.sleep(self.cuts.uniform(0.5, 2.5))
            self.store.cut_watches()

    async def lose_records_repeatedly(self):
        while True:
            await asyncio.sleep(self.cuts.uniform(2, 6))
            await self.lose_record(self.cuts)

    async def lose_record(self, source):
        """The record of an upstream that goes on serving is missing."""
        it = self.pick_upstream(source)
        if it is None:
            return
        self.count("lose_record")
        it.is_registered = False
        it.missing_since = time.monotonic()
        self.store.delete("servers", it.name)
        await asyncio.sleep(source.uniform(4, 9))
        it.is_registered = True
        it.missing_since = None
        if not (it.stopped_since or it.unresponsive_since):
            it.report("draining" if it.draining_since else "ready")

    async def change_configuration(self):
        for _ in range(self.random.randint(1, 5)):
            self.put_configuration()
            await asyncio.sleep(0.2)

    def pick_upstream(self, source=None):
        usable = [it for it in self.upstreams
                  if it.is_registered and not (
                      it.draining_since or it.stopped_since or
                      it.unresponsive_since)]
        left = collections.Counter((it.service, it.zone) for it in usable)
        spare = [it for it in usable if left[(it.service, it.zone)] > 1]
        return (source or self.random).choice(spare) if spare else None

    async def replace_upstream(self):
        """Starts a new, cold upstream; the old one drains and stops."""
        it = self.pick_upstream()
        if it is None:
            return
        await self.add_upstream(it.service, it.zone, 2.0)
        it.drain()
        await asyncio.sleep(DRAIN_S + self.random.uniform(0.5, 3))
        it.stop()
        self.store.delete("servers", it.name)

    async def crash_upstream(self):
        """Makes an upstream unresponsive; its address is reused later."""
        it = self.pick_upstream()
        if it is None:
            return
        it.stop_responding()
        await asyncio.sleep(3.6)
        it.draining_since = time.monotonic()
        self.store.delete("servers", it.name)
        it.stop()
        await asyncio.sleep(2)
        other = "uploads" if it.service == "booking" else "booking"
        await self.add_upstream(other, it.zone, 2.0, it.address)
        await self.add_upstream(it.service, it.zone, 2.0)

    async def withdraw_zone(self):
        zone = self.random.choice(ZONES)
        if self.withdrawn:
            return
        self.store.put("evacuations", zone, {})
        self.withdrawn[zone] = time.monotonic()
        await asyncio.sleep(self.random.uniform(3, 8))
        del self.withdrawn[zone]
        self.withdrawal_ended = self.returned[zone] = time.monotonic()
        self.store.delete("evacuations", zone)

    FAULTS = (kill_instance, roll_instance, pause_instance, hurt_store,
              forget_history, change_configuration, replace_upstream,
              crash_upstream, withdraw_zone)

    async def inject(self):
        """Injects faults one after the other; run() starts two such series."""
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            fault = self.random.choice(self.FAULTS)
            self.count(fault.__name__)
            await fault(self)

    async def inject_deliberate_fault(self):
        """Injects the fault of --break, which the checks have to detect."""
        await asyncio.sleep(RECOVERY_S + 1)
        if self.mutation == "reset":
            self.reset_open_flow()
        if self.mutation == "drain":
            it = self.pick_upstream()
            it.draining_since = time.monotonic()
        if self.mutation == "stale":
            await self.serve_stale_view()
        if self.mutation == "cold":
            earlier = list(self.upstreams)
            for service in SERVICES:
                await self.add_upstream(service, ZONES[0], 30.0)
            for it in earlier:
                it.drain()

    def reset_open_flow(self):
        caller, sport, flow = next((c, s, f) for c in self.callers
                                   for s, f in c.flows.items() if f.upstream)
        forged = wire.Packet(wire.RST, *flow.service, caller.address_int,
                             sport, flow.ack)
        forged = bytearray(forged.encode())
        forged[-4:] = bytes(4)
        caller.datagram_received(bytes(forged), ("deliberate fault", 0))

    async def serve_stale_view(self):
        """Restarts all instances; from then on each reads an old state."""
        stale = store_module.Store()
        stale.objects = dict(self.store.objects)
        stale.revision = self.store.revision
        for it in self.instances:
            it.listener.stale_store = stale
            await it.end(signal.SIGKILL)
        for it in self.instances:
            await it.start()
        self.pick_upstream().drain()

    async def run(self):
        await self.start()
        if self.mutation in ("none", "starve"):
            self.spawn(self.inject())
            self.spawn(self.inject())
            self.spawn(self.cut_watches_repeatedly())
            self.spawn(self.lose_records_repeatedly())
            if self.options.restores:
                self.spawn(self.restore_repeatedly())
            if self.options.bursts:
                self.spawn(self.burst_repeatedly())
        else:
            self.spawn(self.inject_deliberate_fault())
        await asyncio.sleep(self.options.seconds)
        for it in self.tasks:
            it.cancel()
        for it in self.instances:
            it.listener.server.close()
        for it in self.instances:
            it.is_expected_to_run = False
            if it.process.returncode is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                await it.process.wait()
        self.check_bursts()
        answered = self.counts["opened"]
        tried = answered + self.counts["not_opened"]
        if tried == 0 or answered < tried / 2:
            self.invariants.report(
                "served", f"{answered} of {tried} flows opened")


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--edge", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--restores", action="store_true",
                        help="the store comes back from earlier copies; "
                        "rules are checked for less of the time")
    parser.add_argument("--bursts", action="store_true",
                        help="bursts of less urgent requests besides")
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--callers", type=int, default=30)
    parser.add_argument("--verbose", action="store_true")
    parser.add_argument("--net", type=int, default=0)
    parser.add_argument("--break", dest="mutation", choices=MUTATIONS,
                        default="none")
    return parser.parse_args()


async def main():
    options = parse_options()
    random.seed(options.seed)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(options)
        soak.folder = folder
        await soak.run()
        if soak.invariants.violations and options.mutation == "none":
            keep = tempfile.mkdtemp(prefix=f"soak-{options.seed}-")
            for name in os.listdir(folder):
                os.replace(os.path.join(folder, name),
                           os.path.join(keep, name))
            print("logs:", keep)
    names = collections.Counter(
        line.split(":")[0].split()[-1] for line in soak.invariants.violations)
    print(json.dumps({"seed": options.seed, "counts": soak.counts,
                      "store_calls": soak.store.calls, "broken": names}))
    return 1 if soak.invariants.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
