"""The entry of a host that can't reach the store has lapsed for longer than
drainMs when the store cuts off the waiting watches once."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
import world_2 as w  # noqa: E402

ROUTE = ("198.18.0.1", 8080, "seat-desk")
DRAIN_S = 3.0
HEARTBEAT_S = 1.2


async def call_once(consumer, port, route):
    """A flow for one request."""
    flow = await consumer.open(port, route)
    if flow:
        await flow.request()
        await flow.finish()


async def call(consumer, port, route, until, world):
    """A new flow about every 0.05 s, each from a new port."""
    calls = []
    while world.rec.now() < until:
        calls.append(asyncio.ensure_future(call_once(consumer, port, route)))
        port += 1
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)


async def test(world, trouble):
    route = (w.number(ROUTE[0]), ROUTE[1])
    world.configure(4, [ROUTE])
    for i in range(5):
        host = w.Host(world, f"i-{0x7f3a91c200 + i:010x}", ROUTE[2],
                      f"127.{world.net}.3.{i + 1}")
        world.hosts.append(host)
        await host.start()
    await world.add_edges(3)
    for i in range(4):
        c = w.Consumer(world, f"127.{world.net}.4.{i + 1}")
        world.consumers.append(c)
        await c.start()
    await world.start_edges()
    await asyncio.sleep(3)

    lapsed, acked = world.hosts[0], []

    def on_opening(host, key, p):
        """DRAIN: the opening is sent and arrives later than drainMs after the
        ack that the host is gone. The instances are in touch all the while."""
        sent = next(c for c in world.consumers
                    if c.number == key[0]).flows[(key[1], key[2], key[3])]
        if host is lapsed and acked and sent.opened_at > acked[0] + DRAIN_S:
            world.rec.breaks("DRAIN", host=host.name, flow=key,
                             after_s=f"{time.monotonic() - acked[0]:.3f}")

    world.on_opening = on_opening
    until = world.rec.now() + 18
    calls = asyncio.gather(*(call(c, 20001, route, until, world)
                             for c in world.consumers))
    await asyncio.sleep(5)
    lapsed.register()
    lapsed.beating = False
    world.rec("host can't reach the store", host=lapsed.name)
    await asyncio.sleep(3 * HEARTBEAT_S)
    world.store.write(f"servers/{lapsed.name}", None, removed=True)
    acked.append(time.monotonic())
    world.rec("entry removed", host=lapsed.name)
    await asyncio.sleep(DRAIN_S + 1.5)
    if trouble:
        n = sum(world.store.cut_watches(e.store_address, kind)
                for e in world.edges
                for kind in ("servers", "config", "evacuations", "instances"))
        world.rec("waiting watches cut off", n=n)
    # The host reaches the store again 12 s after it was cut off.
    await asyncio.sleep(12 - 3 * HEARTBEAT_S - DRAIN_S - 1.5)
    acked.clear()
    lapsed.beating = True
    await calls


if __name__ == "__main__":
    sys.exit(w.play(os.path.dirname(os.path.abspath(__file__)), test))
