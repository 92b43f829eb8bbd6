"""The store comes back from an older copy, without the entry of a new agent.
A balancer that is added at that time takes the list without it for complete."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
import bed as lab  # noqa: E402

FIRST, ADDED, OLD_AGENTS, NEW_AGENT = 10, 11, (21, 22), 23
AWAY_SECONDS = 0.5
COPY_AGE_SECONDS = 4.0


async def keep_using(flow, name, bed):
    """Sends requests on the flow until it ends."""
    for count in range(8):
        outcome = await flow.request(f"{name}-{count}", 3.0)
        bed.record("answered", client=flow.src, outcome=outcome)
        if outcome == "reset":
            server = bed.server_of(flow)
            if flow.reset_by == "system" and server is not None:
                bed.break_rule(
                    f"FLOW: a reset of the system's own ended the flow of "
                    f"{flow.src} while its server {server.name} lives")
            return
        await asyncio.sleep(0.3)


async def script(bed):
    # A stale read of the store is some seconds old.
    bed.store.stale_seconds = 3.5
    await bed.start_store()
    bed.write_config()
    first = await bed.start_balancer(FIRST)
    for number in OLD_AGENTS:
        await bed.start_server(f"s{number}", number)
    client = await bed.add_client(30)
    if not await bed.wait_for(lambda: bed.router.misses[first] < 2, 15):
        raise lab.CannotRun("the balancer is not ready")
    await asyncio.sleep(lab.STABILITY_SECONDS + 1)
    new = await bed.start_server("new", NEW_AGENT)
    entry = ("galenafork-agents", new.host)
    if not await bed.wait_for(lambda: entry in bed.store.objects, 5):
        raise lab.CannotRun("the new agent is not registered")
    registered_at = time.monotonic()
    flows = []
    while time.monotonic() < registered_at + 1.5:
        await asyncio.sleep(0.03)
        flow = client.new_flow()
        if await flow.open():
            flows.append(flow)
            await flow.request(f"first-{flow.src[1]}", 2.0)
        if sum(bed.server_of(f) is new for f in flows) >= 8:
            break
    at_new = sum(bed.server_of(f) is new for f in flows)
    bed.record("open_flows", at_new=at_new, all=len(flows))
    if at_new < 3:
        raise lab.CannotRun("too few flows were opened at the new server")
    await asyncio.sleep(registered_at + 1.7 - time.monotonic())
    if bed.trouble:
        bed.record("store_away")
        bed.store.away = True
        await asyncio.sleep(AWAY_SECONDS)
        bed.store.away = False
        bed.store.restore(COPY_AGE_SECONDS)
        bed.record("store_back", copy_age=COPY_AGE_SECONDS,
                   has_new_agent=entry in bed.store.objects)
    else:
        await asyncio.sleep(AWAY_SECONDS)
    back_at = time.monotonic()
    added = await bed.start_balancer(ADDED)
    await bed.wait_for(lambda: entry in bed.store.objects, 5)
    bed.record("entry_is_there", after=round(time.monotonic() - back_at, 2))
    # From now on the store has been undisturbed, and both new machines have
    # been running, for the stability window.
    await asyncio.sleep(back_at + lab.STABILITY_SECONDS + 0.15
                        - time.monotonic())
    bed.record("moved", flows=sum(bed.router.choose(f.key) == added
                                  for f in flows if bed.server_of(f) is new))
    await asyncio.gather(*[bed.spawn(keep_using(f, f"q{i}", bed))
                           for i, f in enumerate(flows)])


if __name__ == "__main__":
    lab.main(script, pathlib.Path(__file__).resolve().parent)
