"""An instance that the store turns away floods hosts that came back cold.

Zone zone-b has one machine and two hosts. The store falls silent for that
machine and serves the others (platform_down, nodes). Meanwhile the zone is
emptied and taken back (evacuate); at the end its hosts are cold for warmupS.
Counted are the requests that each cold host gets in any second. With TROUBLE=0
the zone is emptied and taken back in the same way, and the store serves all.
"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab_3 as lab

MAIN = ("198.18.0.1", 443)
WARMUP_PER_S = 2.0
WARMUP_S = 2.0
LIMIT = (WARMUP_PER_S * lab.BOUNDS["warmupFactor"]
         + lab.BOUNDS["coldSlack"])
HOSTS = (("i-7f3a91c2", "zone-a"), ("i-80b1d4e7", "zone-a"),
         ("i-91c2d3f4", "zone-b"), ("i-a2b3c4d5", "zone-b"))
# Flows a second of the consumers of zone-b, of which each is one request.
RATE = 27.0
SILENT_S = 9.0
EVACUATE_AFTER_S = 1.0
EVACUATE_S = 4.0
# The hosts are cold shortly before the evacuation ends.
COLD_BEFORE_END_S = 0.6
LIMIT_S = 2.0


async def use(consumer, n, answers):
    flow = consumer.flow(MAIN)
    if await flow.open() and await flow.request(f"get-{n}", LIMIT_S):
        answers.append(n)


async def consume(consumer, answers):
    n = 0
    while True:
        n += 1
        asyncio.create_task(use(consumer, n, answers))
        await asyncio.sleep(1 / RATE)


async def evacuate(world):
    """Returns since when and until when the hosts of the zone are cold."""
    await asyncio.sleep(EVACUATE_AFTER_S)
    world.store.put("evacuations", "zone-b", {})
    world.record.write("the evacuation of zone-b is acknowledged")
    await asyncio.sleep(EVACUATE_S - COLD_BEFORE_END_S)
    begin = time.monotonic()
    for host in world.hosts:
        if host.zone == "zone-b":
            host.started, host.cold_s = begin, WARMUP_S
            host.report()
    await asyncio.sleep(COLD_BEFORE_END_S)
    world.store.delete("evacuations", "zone-b")
    world.record.write("the evacuation of zone-b is taken back")
    return begin, begin + WARMUP_S


def most_in_a_second(times):
    return max((sum(1 for t in times if first <= t < first + 1)
                for first in times), default=0)


async def play(world, trouble):
    world.services = ["seats"]
    world.warmup_per_s = WARMUP_PER_S
    world.routes[MAIN] = ("main", "seats", "non_idempotent", 2000)
    world.configure()
    for name, zone in HOSTS:
        await world.add_host(name, "seats", zone)
    consumer = await world.consumer("zone-b", 200)
    await world.until_ready()
    await asyncio.sleep(1.0)
    answers = []
    traffic = asyncio.create_task(consume(consumer, answers))
    await asyncio.sleep(3.0)
    node = world.nodes[-1]
    if trouble:
        world.store.silent.add(node.store_address)
        world.record.write(f"the store is silent for {node.name}")
    begin = time.monotonic()
    cold_from, cold_until = await evacuate(world)
    await asyncio.sleep(begin + SILENT_S - time.monotonic())
    world.store.silent.clear()
    world.record.write("the store serves all")
    await asyncio.sleep(1.0)
    traffic.cancel()
    if not answers:
        raise lab.CannotRun("no request was answered")
    breaches = []
    for host in world.hosts:
        times = [t for t in host.opened.values() if cold_from <= t < cold_until]
        if host.zone == "zone-b":
            most = most_in_a_second(times)
            world.record.write(f"cold host {host.name}: {len(times)} requests, "
                               f"at most {most} in a second")
            if most > LIMIT:
                breaches.append(f"FAILBACK: cold host {host.name} got {most} "
                                f"requests in a second; the limit is {LIMIT}")
    return breaches


lab.main(pathlib.Path(__file__).resolve().parent, play,
         ["zone-a", "zone-b"], [2, 1])
