"""A process beside a server that has just started is killed and started again.
The server lives; a flow that was open before must not be reset later."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from bed import end, run_case  # noqa: E402
from peers import Flow  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
SERVERS, FLOWS = 7, 48


async def use(bed, flow, pause):
    outcome = await flow.open()
    bed.count(f"flows {outcome}")
    if outcome != "open":
        return
    bed.count(f"first requests {await flow.request()}")
    await asyncio.sleep(pause)
    bed.count(f"second requests {await flow.request()}")
    flow.close()


async def play(bed):
    for i in range(SERVERS):
        bed.add_server(i + 1, "desk")
    fresh = bed.servers[0]
    await bed.set_up({ROUTE: "desk"})
    client = await bed.client(1)
    # The server starts again on its machine, in both plays.
    fresh.crash()
    bed.disturb("a server is down")
    await asyncio.sleep(3)
    await fresh.start(first_beat=0.02)
    bed.disturb("the server is back")
    await asyncio.sleep(0.25)
    users = [asyncio.ensure_future(use(bed, Flow(client, ROUTE), 8))
             for _ in range(FLOWS)]
    await asyncio.sleep(0.35)
    if bed.trouble == "1":
        await bed.restart_node(fresh.ip, signal.SIGKILL, down=0.4)
    await asyncio.gather(*users)


end(run_case(__file__, play))
