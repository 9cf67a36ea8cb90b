"""A paused replica restarts before the other one leads, and receives again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet as standins  # noqa: E402

DOWN_S = 0.1
GAP_S = 1.0
PROMOTE_S = 0.3
WRITERS = 5


async def case(fleet, is_trouble):
    acknowledged = {it: set() for it in fleet.groups}
    missing = []

    async def writer(service, database):
        session = None
        while True:
            try:
                if session is None:
                    session = standins.Session(fleet, fleet.any_entry())
                    await session.connect(database)
                thing = "%x" % fleet.random.randrange(2000)
                request, code, _, _, position = await session.ask("WRITE %s %08x" % (thing, fleet.random.getrandbits(32)))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                code = "NOCONNECTION"
            if code == "DONE":
                acknowledged[service].add(request)
                fleet.record.write("acknowledged", request, "at", position)
            else:
                fleet.record.write("not acknowledged", code)
                session.close()
                session = None
                await asyncio.sleep(0.05)

    def judge(old, target):
        service = target.group.service
        held = {it[4] for it in target.log}
        lost = sorted(acknowledged[service] - held)
        fleet.record.write("promoted", service, target.id, "at", target.position(), "the old primary is at", old.position() if old else "-",
                           "acknowledged and missing:", ",".join(lost) or "none")
        missing.extend(lost)

    carry_out = fleet.platform.carry_out

    def promote(body, fence):
        """Once the order is taken, the service's other replica crashes."""
        status = carry_out(body, fence)
        for it in list(fleet.groups[body["service"]].instances):
            if status == 200 and is_trouble and it.role == "replica" and not it.is_over and it.id != body["id"]:
                asyncio.create_task(it.crash(DOWN_S))
        return status

    fleet.platform.carry_out = promote
    for group in fleet.groups.values():
        group.promote_s = PROMOTE_S
        group.on_promote = judge
    tasks = [asyncio.create_task(writer(service, database)) for database, (service, _) in fleet.databases.items() for _ in range(WRITERS)]
    await asyncio.sleep(4)
    leaving = []
    for group in fleet.groups.values():
        leaving.append(asyncio.create_task(group.primary().leave()))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(3)
    for it in leaving + tasks:
        it.cancel()
    fleet.record.write("acknowledged in all:", sum(map(len, acknowledged.values())), "missing at a promoted instance:", len(missing))
    if min(map(len, acknowledged.values())) < 50:
        raise standins.CannotRun("too little was acknowledged")
    return bool(missing)


if __name__ == "__main__":
    standins.run_case(HERE, case, sync_replicas=1, policies=("primary",))
