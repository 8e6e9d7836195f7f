"""Entries with an unnamed service take all hosts of a service out of use.

All processes are killed at once (closing kill_all). Meanwhile another writer
begins to register the addresses of the hosts of a service under other ids, for
a service that the configuration doesn't name. The hosts live, and report as
before. From recoveryS after the processes are back, consumers' requests are
counted. With TROUBLE=0 the processes are killed, but there is no other writer.
"""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab_3 as lab

MAIN = ("198.18.0.1", 443)
HOSTS = ("i-7f3a91c2", "i-80b1d4e7")
OTHER_SERVICE = "seats-canary"
DOWN_S = 1.4
RECOVERY_S = lab.BOUNDS["recoveryS"]
COUNTED_S = 5.0
GAP_S = 0.02
LIMIT_S = 1.5
TRIES = 3


async def use(consumer, name, served):
    """One request, with the two retries of the sheet."""
    for n in range(TRIES):
        flow = consumer.flow(MAIN)
        if await flow.open() and await flow.request(f"{name}-{n}", LIMIT_S):
            served.append(name)
            return


async def served_share(consumer, name, seconds):
    served = []
    uses = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        uses.append(asyncio.create_task(
            use(consumer, f"{name}-{len(uses)}", served)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*uses)
    consumer.world.record.write(f"{name}: {len(served)} of {len(uses)} served")
    return len(served) / len(uses)


async def write_entries(world):
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        for n, host in enumerate(world.hosts):
            world.store.put("servers", f"i-f00d000{n + 1}", {
                "service": OTHER_SERVICE, "zone": host.zone, "slots": 2,
                "address": f"{host.address}:{host.port}", "version": "v1",
                "state": "ready", "warmupLeftMs": 0, "sequence": sequence,
                "born": born})
        if sequence == 1:
            world.record.write(f"another writer registers the addresses of the "
                               f"hosts for {OTHER_SERVICE}")
        await asyncio.sleep(lab.HEARTBEAT_S)


async def play(world, trouble):
    world.services = ["seats"]
    world.routes[MAIN] = ("main", "seats", "idempotent", 1500)
    world.configure()
    for name in HOSTS:
        await world.add_host(name, "seats", "zone-a")
    consumer = await world.consumer("zone-a", 200)
    await world.until_ready()
    await asyncio.sleep(1.0)
    before = await served_share(consumer, "before", 3.0)
    if before < 0.25:
        raise lab.CannotRun(f"a share of {before:.2f} was served before")
    await asyncio.gather(*(it.end(signal.SIGKILL) for it in world.nodes))
    writer = asyncio.create_task(write_entries(world)) if trouble else None
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(it.start() for it in world.nodes))
    await asyncio.sleep(RECOVERY_S)
    after = await served_share(consumer, "after", COUNTED_S)
    if writer is not None:
        writer.cancel()
    if after >= 0.25:
        return []
    return [f"RECOVER: {RECOVERY_S} s after the processes were back, a share of "
            f"{after:.2f} was served; before, {before:.2f}"]


lab.main(pathlib.Path(__file__).resolve().parent, play, ["zone-a"], [3])
