"""A promotion that got no answer is carried out after the replicas were resumed."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "standins-2"))
import fleet as standins  # noqa: E402

CUT_S = 3.0
LATE_S = 9.0
# NOTE: which replica lags more at the promotion is a matter of chance.
ROUNDS = 4
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

    for group in fleet.groups.values():
        group.on_promote = judge
    tasks = [asyncio.create_task(writer(service, database)) for database, (service, _) in fleet.databases.items() for _ in range(WRITERS)]
    for _ in range(ROUNDS):
        await asyncio.sleep(4)
        if is_trouble:
            fleet.platform.is_late, fleet.platform.late_s = True, LATE_S
            primaries = [it.primary() for it in fleet.groups.values()]
            for it in primaries:
                it.cut()
            await asyncio.sleep(CUT_S)
            for it in primaries:
                it.heal()
            fleet.platform.is_late = False
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(LATE_S + 3)
        if missing:
            break
    for it in tasks:
        it.cancel()
    fleet.record.write("acknowledged in all:", sum(map(len, acknowledged.values())), "missing at a promoted instance:", len(missing))
    if min(map(len, acknowledged.values())) < 50:
        raise standins.CannotRun("too little was acknowledged")
    return bool(missing)


if __name__ == "__main__":
    standins.run_case(HERE, case, sync_replicas=1, policies=("primary",))
