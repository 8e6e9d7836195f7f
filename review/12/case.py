"""Flows of a living host are reset after a rolling restart of the instances.

Two hosts of a service start again under the ids that they had, at the same
addresses, one shortly after the other, while consumers open flows. Each host
registers when it starts. Some flows are opened by instances that have not read
the new record yet. The consumers use their flows, pause for less than
idleTimeoutMs, and use them again. Meanwhile the instances are stopped and
started in turn (roll_term). With TROUBLE=0 neither happens.
"""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab_3 as lab

MAIN = ("198.18.0.1", 443)
HOSTS = ("i-7f3a91c2", "i-80b1d4e7", "i-91c2d3f4", "i-a2b3c4d5")
# A flow each OPENING_GAP_S, from shortly before the hosts start again.
FLOWS = 90
OPENING_GAP_S = 0.01
RESTART_AFTER_S = 0.2
RESTART_S = 0.05
# Between the two hosts.
RESTART_GAP_S = 0.15
COLD_S = 2.0
ROLL_GAP_S = 2.0
START_PAUSE_S = 0.3
# From the first use of the flows to the second; idleTimeoutMs is 15,000.
PAUSE_S = 11.0
LIMIT_S = 8.0


async def use(consumer, name, done):
    flow = consumer.flow(MAIN)
    if not await flow.open():
        return
    if await flow.request(f"first-{name}", LIMIT_S) is not None:
        done.append(flow)


async def start_again(world, host):
    host.stop()
    world.hosts.remove(host)
    world.record.write(f"host {host.name} has crashed")
    await asyncio.sleep(RESTART_S)
    await world.add_host(host.name, host.service, host.zone, host.address,
                         COLD_S)


async def restart_hosts(world):
    await asyncio.sleep(RESTART_AFTER_S)
    for host in world.hosts[:2]:
        asyncio.create_task(start_again(world, host))
        await asyncio.sleep(RESTART_GAP_S)


async def roll(world):
    ends = []
    for node in world.nodes:
        ends.append(asyncio.create_task(
            node.restart(signal.SIGTERM, START_PAUSE_S)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*ends)


def is_open_at_host(world, flow):
    key = (lab.to_int(flow.consumer.address), flow.port,
           lab.to_int(flow.route[0]), flow.route[1])
    return [it for it in world.hosts
            if key in it.flows and it.flows[key].open and key not in it.resets]


async def play(world, trouble):
    world.services = ["seats"]
    world.routes[MAIN] = ("main", "seats", "upload", int(LIMIT_S * 1000))
    world.configure()
    for name in HOSTS:
        await world.add_host(name, "seats", "zone-a")
    consumer = await world.consumer("zone-a", 200)
    await world.until_ready()
    await asyncio.sleep(3.0)
    flows = []
    restarts = asyncio.create_task(restart_hosts(world)) if trouble else None
    uses = []
    for n in range(FLOWS):
        uses.append(asyncio.create_task(use(consumer, n, flows)))
        await asyncio.sleep(OPENING_GAP_S)
    if restarts is not None:
        await restarts
    paused = asyncio.create_task(asyncio.sleep(PAUSE_S))
    await asyncio.gather(*uses)
    if trouble:
        await roll(world)
    await paused
    # Flows of the hosts that have crashed have ended, and are not counted.
    living = [it for it in flows if is_open_at_host(world, it)]
    world.record.write(f"{len(living)} flows of living hosts are used again")
    await asyncio.gather(*(it.request(f"second-{it.port}", LIMIT_S)
                           for it in living))
    breaches = []
    for flow in living:
        hosts = is_open_at_host(world, flow)
        if flow.reset_by_system and hosts:
            breaches.append(
                f"FLOW: the system reset flow {flow.port}, which is open at "
                f"{hosts[0].name}; the host lives and sent no reset")
    return breaches


lab.main(pathlib.Path(__file__).resolve().parent, play, ["zone-a"], [3])
