"""A port is used again; a planned restart moves the flow back to an instance
that remembers the earlier flow of the port."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import world_2 as w  # noqa: E402

ROUTE = ("198.18.0.1", 8080, "seat-desk")
PORTS = range(20001, 20041)
FLOW_TTL_S = 60


async def call_once(consumer, port, route):
    """A flow for one request."""
    flow = await consumer.open(port, route)
    if flow:
        await flow.request()
        await flow.finish()


async def call_again_and_again(consumer, port, route, until, world):
    """A long flow: a request about every second."""
    flow = await consumer.open(port, route)
    while flow and flow.state == "open" and world.rec.now() < until:
        await flow.request()
        await asyncio.sleep(0.9)
    if flow:
        await flow.finish()


async def restart(edge):
    """What the platform does at a planned restart."""
    edge.signal(signal.SIGTERM)
    await asyncio.wait_for(edge.ended(), 6)
    await asyncio.sleep(0.5)
    edge.start()


async def test(world, trouble):
    route = (w.number(ROUTE[0]), ROUTE[1])
    world.configure(4, [ROUTE])
    for i in range(5):
        host = w.Host(world, f"i-{0x7f3a91c200 + i:010x}", ROUTE[2],
                      f"127.{world.net}.3.{i + 1}")
        world.hosts.append(host)
        await host.start()
    await world.add_edges(3)
    for i in range(6):
        c = w.Consumer(world, f"127.{world.net}.4.{i + 1}")
        world.consumers.append(c)
        await c.start()
    await world.start_edges()
    await asyncio.sleep(3)

    # Flows of one request each; all are closed by both ends.
    for port in PORTS:
        await asyncio.gather(*(call_once(c, port, route)
                               for c in world.consumers))
        await asyncio.sleep(0.03)
    world.rec("first flows closed")
    await asyncio.sleep(FLOW_TTL_S + 2)

    restarting = None
    if trouble:
        restarting = asyncio.ensure_future(restart(world.edges[2]))
        while world.edges[2].in_rotation:
            await asyncio.sleep(0.02)
    # New flows, more than flowTtlS later, from the same ports.
    world.rec("second flows")
    until = world.rec.now() + 9
    await asyncio.gather(*(call_again_and_again(c, port, route, until, world)
                           for c in world.consumers for port in PORTS[:20]))
    if restarting:
        await restarting


if __name__ == "__main__":
    sys.exit(w.play(os.path.dirname(os.path.abspath(__file__)), test))
