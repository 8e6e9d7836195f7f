"""An instance that changes its parent keeps a route's former service for good.

The process of the machine from which the others of its zone read is killed
(node_kill, one machine, dark for 3.5 s). Meanwhile, and until the others read
from it again, configurations come in quick succession (two config_storms). Each
of them sends one route to the next service and the route of the version before
back to its own service; the last one sends all routes to their own service.
When applyMs has passed after the last version, a consumer opens a flow to each
route at each node. This is done up to four times. With TROUBLE=0 no process is
killed.
"""
import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import lab_3 as lab

HOST = "198.18.0.1"
OWN_SERVICE, NEXT_SERVICE = "seats", "seats-next"
ROUNDS = 4
# The storms of the site files have up to 4.03 s with a change each 0.196 s.
STORMS = 2
STORM_CHANGES = 20
STORM_GAP_S = 0.2
# So that the killed process starts between two reads of the others: its own reads
# are then at other moments than theirs.
STORM_AFTER_S = 2.8
DARK_S = 3.5
SETTLE_S = lab.BOUNDS["applyMs"] / 1000 + 1.0
LIMIT_S = 2.0


def set_service(world, route, service):
    world.routes[route] = (f"route-{route[1]}", service, "idempotent", 1500)


async def storms(world, routes):
    for n, route in enumerate(routes):
        set_service(world, routes[n - 1], OWN_SERVICE)
        set_service(world, route, NEXT_SERVICE)
        world.configure()
        await asyncio.sleep(STORM_GAP_S)
    set_service(world, routes[-1], OWN_SERVICE)
    world.configure()


async def ask(consumer, route, node, name):
    """Returns the answer to a request on a new flow through node, or None."""
    flow = consumer.flow(route, node)
    if not await flow.open():
        return None
    return await flow.request(name, LIMIT_S)


async def check(world, consumer, routes, turn):
    service_of = {it.name: it.service for it in world.hosts}
    wanted = [(node, route) for node in world.nodes for route in routes]
    answers = await asyncio.gather(*(
        ask(consumer, route, node, f"get-{turn}-{node.name}-{route[1]}")
        for node, route in wanted))
    if not any(answers):
        raise lab.CannotRun("no route is served")
    breaches = []
    for (node, route), answer in zip(wanted, answers):
        place = f"{node.name}, route {route[0]}/{route[1]}/"
        if answer is None:
            breaches.append(f"CONFIG: {place}: refused though the route is "
                            "there")
        elif service_of[answer.split()[1]] != OWN_SERVICE:
            breaches.append(f"CONFIG: {place}: run by the old service "
                            f"{NEXT_SERVICE}: '{answer}'")
    return breaches


async def kill_and_start(node):
    await node.end(signal.SIGKILL)
    await asyncio.sleep(DARK_S)
    await node.start()


async def play(world, trouble):
    routes = [(HOST, 10001 + n) for n in range(STORMS * STORM_CHANGES)]
    world.services = [OWN_SERVICE, NEXT_SERVICE]
    for it in routes:
        set_service(world, it, OWN_SERVICE)
    world.configure()
    for name in ("i-7f3a91c2", "i-80b1d4e7"):
        await world.add_host(name, OWN_SERVICE, "zone-a")
    for name in ("i-91c2d3f4", "i-a2b3c4d5"):
        await world.add_host(name, NEXT_SERVICE, "zone-a")
    consumer = await world.consumer("zone-a", 200)
    await world.until_ready()
    await asyncio.sleep(1.0)
    breaches = []
    for turn in range(ROUNDS):
        kill = (asyncio.create_task(kill_and_start(world.nodes[0]))
                if trouble else None)
        await asyncio.sleep(STORM_AFTER_S)
        await storms(world, routes)
        if kill is not None:
            await kill
        await asyncio.sleep(SETTLE_S)
        breaches += await check(world, consumer, routes, turn)
        if breaches:
            break
    return breaches


lab.main(pathlib.Path(__file__).resolve().parent, play, ["zone-a"], [3])
