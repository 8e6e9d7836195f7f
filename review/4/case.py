"""A large configuration changes again and again; machines have 74 MB."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import layout  # noqa: E402
import standins  # noqa: E402

MEMORY_MB = 74
BIG_CONFIG_ROUTES = 1652
BIG_CONFIGS = 3
STORM_GAP_S = 0.33
CHANGES_FOR_S = 98
ENDS_TO_FAULT = 3
MACHINES_TO_FAULT = 2


def private_bytes(pid):
    """Memory of a process, without the pages of its program files."""
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
    return 0


async def enforce_memory_limit(world, machine, ends):
    """Kills a process that exceeds memoryMb, as the platform does, and starts
    it again."""
    most = 0
    while True:
        await asyncio.sleep(0.1)
        used = private_bytes(machine.process.pid)
        if used > most + 10 * 2**20:
            most = used
            world.record("memory-mb", machine.name, used >> 20, "changes",
                         world.changes)
        if used <= MEMORY_MB * 2**20:
            continue
        world.record("over-memory-limit", machine.name, used >> 20,
                     "changes", world.changes)
        ends[machine.name] += 1
        most = 0
        await machine.kill_and_start()
        if ends[machine.name] == ENDS_TO_FAULT:
            world.faulty.append(machine.name)
            if len(world.faulty) >= MACHINES_TO_FAULT:
                world.broken("Fault", f"{ENDS_TO_FAULT} times each, the "
                             "process exceeded its memory on "
                             + ", ".join(world.faulty))


async def work(world):
    layout.add_routes(world)
    world.memory_mb = MEMORY_MB
    world.changes = 0
    world.faulty = []
    ends = {m.name: 0 for m in world.machines}
    await world.start()
    for m in world.machines:
        world.spawn(enforce_memory_limit(world, m, ends))
    for zone in layout.ZONES:
        world.spawn(world.send_reservations(layout.RESERVE, 3, zone))
    await asyncio.sleep(4)
    deadline = world.now() + CHANGES_FOR_S
    added = 0
    while world.now() < deadline:
        if world.has_trouble:
            # big_config: the configuration grows by many routes.
            if world.changes < BIG_CONFIGS:
                for i in range(BIG_CONFIG_ROUTES):
                    address = (standins.ip_to_int("127.9.1.0") + added // 60000,
                               1024 + added % 60000)
                    world.routes[address] = (f"r-{added}", "tavola")
                    added += 1
            # config_storm: one more route each.
            world.routes[(standins.ip_to_int("127.9.8.1"),
                          1024 + world.changes)] = (
                              f"s-{world.changes}", "tavola")
            world.write_configuration()
            world.changes += 1
        await asyncio.sleep(STORM_GAP_S)
    size = len(standins.json.dumps(
        world.store.objects[("config", "main")]["spec"]))
    print("bytes of the configuration:", size, "changes:", world.changes,
          "ends by memory:", ends)
    world.record("configuration-bytes", size)


standins.run_case(work, FOLDER, layout.MACHINES, layout.HOSTS)
