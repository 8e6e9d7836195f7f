"""The installation of the site cenacolo-bridge, as the sheet in SYSTEM.md has
it: six machines in four zones, 14 hosts of tavola and 4 of dispensa."""
import standins

MACHINES = [("front-palermo-1", "palermo"), ("front-palermo-2", "palermo"),
            ("front-catania-1", "catania"), ("front-catania-2", "catania"),
            ("front-siracusa-1", "siracusa"), ("front-trapani-1", "trapani")]
HOSTS = ([("tavola", "palermo")] * 4 + [("tavola", "catania")] * 4 +
         [("tavola", "siracusa")] * 3 + [("tavola", "trapani")] * 3 +
         [("dispensa", z) for z in ("palermo", "catania", "siracusa",
                                    "trapani")])
ZONES = ("palermo", "catania", "siracusa", "trapani")
# Flows of one reservation each, per second and zone: 83.5 in all.
RESERVATIONS_PER_S = 20.9
SEAT_BOARD = (standins.ip_to_int("127.9.0.1"), 8443)
RESERVE = (standins.ip_to_int("127.9.0.1"), 8080)


def add_routes(world):
    world.routes[RESERVE] = ("reserve", "tavola")
    world.routes[SEAT_BOARD] = ("seat-board", "tavola")


def start_reservations(world):
    for zone in ZONES:
        world.spawn(world.send_reservations(RESERVE, RESERVATIONS_PER_S,
                                            zone))
