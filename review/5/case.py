"""All primaries are to be replaced while the platform is down for some seconds."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet as standins  # noqa: E402

RECOVERY_S = 12.0
PLATFORM_DOWN_S = 12.0
GAP_S = 1.0


async def case(fleet, is_trouble):
    load = standins.Load(fleet)
    await asyncio.sleep(6)
    # NOTE: as in a release, the new instance starts first.
    for group in fleet.groups.values():
        await fleet.add_instance(group, group.primary().zone, "replica", group.primary().log)
    await asyncio.sleep(2)
    if is_trouble:
        await fleet.platform.down()
    await asyncio.sleep(0.5)
    leaving = []
    for group in fleet.groups.values():
        leaving.append(asyncio.create_task(group.primary().leave()))
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(PLATFORM_DOWN_S - 0.5 - GAP_S * len(leaving))
    if is_trouble:
        await fleet.platform.up()
    await asyncio.gather(*leaving)
    await asyncio.sleep(6)
    # NOTE: the final fault strikes right after the acknowledgement of a change.
    if not await fleet.send_configuration():
        raise standins.CannotRun("the configuration wasn't acknowledged")
    fault_at = fleet.record.now()
    await fleet.kill_all(1.0)
    back_at = fleet.record.now()
    await asyncio.sleep(RECOVERY_S + 6)
    load.stop()
    before, asked_before = load.share(0, fault_at)
    after, asked_after = load.share(back_at + RECOVERY_S, fleet.record.now() - 2.5)
    fleet.record.write("served before the final fault: %.3f of %d; sent more than recovery_s after it: %.3f of %d" % (before, asked_before, after, asked_after))
    for name, group in fleet.groups.items():
        fleet.record.write("service", name, "primary:", group.primary().id if group.primary() else "none")
    if before < 0.25 or asked_after < 10:
        raise standins.CannotRun("too little was served before, or asked after")
    return after < 0.25


if __name__ == "__main__":
    standins.run_case(HERE, case)
