"""A route is moved to another service and back between a session's write and its read."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet as standins  # noqa: E402

ROUNDS = 6
DEAF_S = 6.0
READS = 8


async def one_round(fleet, is_trouble, number):
    """True if the session's read lacked its own acknowledged write."""
    first, second = fleet.service_names
    group = fleet.groups[first]
    database = "db-%s-r" % first
    session = standins.Session(fleet, fleet.any_entry())
    await session.connect(database)
    if is_trouble:
        for it in group.instances:
            it.is_deaf = it.role == "replica"
        fleet.record.write("round", number, "the replicas of", first, "receive nothing")
    thing, value = "t%d" % number, "v%d" % number
    request, code, _, _, position = await session.ask("WRITE %s %s" % (thing, value))
    fleet.record.write("session write", request, code, "at", position, "of", first)
    if code != "DONE":
        raise standins.CannotRun("the write got " + code)

    async def move(service):
        fleet.databases[database] = (service, "read_your_writes")
        if not await fleet.send_configuration():
            raise standins.CannotRun("a configuration wasn't acknowledged")
        await asyncio.sleep(0.15)

    if is_trouble:
        await move(second)
    other = await session.ask("WRITE u%d x" % number)
    fleet.record.write("session write", other[0], other[1], "at", other[4])
    if is_trouble:
        await move(first)
    is_stale = False
    for _ in range(READS):
        request, code, rows, _, position = await session.ask("READ " + thing)
        fleet.record.write("session read", request, code, rows, "at", position)
        is_stale |= code == "DONE" and rows != [value]
    session.close()
    if is_trouble:
        await asyncio.sleep(1)
        for it in group.instances:
            it.is_deaf = False
            group.catch_up(it)
    await asyncio.sleep(2)
    return is_stale


async def case(fleet, is_trouble):
    # NOTE: positions are proven, and the first service's log is the longer one.
    fill = standins.Session(fleet, fleet.any_entry())
    await fill.connect("db-%s-p" % fleet.service_names[0])
    for i in range(150):
        await fill.ask("WRITE f%d %d" % (i, i))
    load = standins.Load(fleet, clients=8)
    await asyncio.sleep(3)
    stale = [await one_round(fleet, is_trouble, it) for it in range(ROUNDS)]
    load.stop()
    fill.close()
    fleet.record.write("rounds with a read that lacked the session's own write:", sum(stale), "of", ROUNDS)
    return any(stale)


if __name__ == "__main__":
    standins.run_case(HERE, case, services=2, policies=("primary", "read_your_writes"))
