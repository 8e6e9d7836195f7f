"""A lost answer to one watch hides for seconds that a host drains.

Zone zone-b has one machine and two hosts. One host reports `draining`; the
store accepts it, and its answer to the waiting watch of that machine is lost.
All other calls are answered at once; calls with allowStale=1 get data that is
some seconds old. The host goes on serving for some seconds. Counted are flows
that it takes later than drainMs after the ack, and later than stabilityWindowMs
after the lost answer. With TROUBLE=0 no answer is lost.
"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab_3 as lab

MAIN = ("198.18.0.1", 443)
HOSTS = (("i-7f3a91c2", "zone-a"), ("i-80b1d4e7", "zone-a"),
         ("i-91c2d3f4", "zone-b"), ("i-a2b3c4d5", "zone-b"))
STALE_S = 3.0
# Flows a second of the consumers of zone-b, of which each is one request.
RATE = 27.0
SERVES_S = 12.0
DRAIN_S = lab.BOUNDS["drainMs"] / 1000
STABILITY_S = lab.BOUNDS["stabilityWindowMs"] / 1000
# For the way of a packet and the granularity of the record.
MARGIN_S = 0.1
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


async def play(world, trouble):
    world.services = ["seats"]
    world.routes[MAIN] = ("main", "seats", "non_idempotent", 2000)
    world.configure()
    world.store.stale_s = STALE_S
    for name, zone in HOSTS:
        await world.add_host(name, "seats", zone)
    consumer = await world.consumer("zone-b", 200)
    await world.until_ready()
    # Longer than stabilityWindowMs after the start.
    await asyncio.sleep(STABILITY_S + 2.0)
    answers = []
    traffic = asyncio.create_task(consume(consumer, answers))
    await asyncio.sleep(2.0)
    node = world.nodes[-1]
    if trouble:
        world.store.lose_watch_answer.add((node.store_address, "servers"))
    host = world.hosts[-1]
    host.draining = True
    host.report()
    acked = time.monotonic()
    world.record.write(f"the store has accepted that {host.name} drains")
    await asyncio.sleep(SERVES_S)
    traffic.cancel()
    if not answers:
        raise lab.CannotRun("no request was answered")
    if trouble and world.store.lose_watch_answer:
        raise lab.CannotRun("no answer was lost")
    judged = acked + max(DRAIN_S, STABILITY_S) + MARGIN_S
    late = sorted(t - acked for t in host.opened.values() if t > judged)
    world.record.write(f"{host.name} took {len(late)} flows too late")
    if not late:
        return []
    return [f"DRAIN: {host.name} took {len(late)} flows from {late[0]:.2f} to "
            f"{late[-1]:.2f} s after the ack that it drains"]


lab.main(pathlib.Path(__file__).resolve().parent, play,
         ["zone-a", "zone-b"], [2, 1])
