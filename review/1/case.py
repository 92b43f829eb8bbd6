"""The operator gives a route another service, and later the balancers are
stopped and started in turn. Flows that were open before stay open at their
servers; a client must not get a reset on them."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from bed import end, run_case  # noqa: E402
from peers import Flow  # noqa: E402

ROUTE, OTHER = ("198.18.0.1", 8443), ("198.18.0.2", 8443)
FLOWS, LENGTH_SECONDS = 24, 22


async def use(bed, flow, until):
    """Keeps one flow open for many requests, with pauses between them."""
    loop = asyncio.get_running_loop()
    outcome = await flow.open()
    bed.count(f"flows {outcome}")
    while outcome == "open" and loop.time() < until:
        await asyncio.sleep(random.uniform(0.8, 1.2))
        result = await flow.request()
        bed.count(f"requests {result}")
        if result == "reset":
            return
    if outcome == "open":
        flow.close()


async def play(bed):
    bed.planned = True
    for i in range(2):
        bed.add_server(i + 1, "desk-a")
        bed.add_server(i + 3, "desk-b")
    await bed.set_up({ROUTE: "desk-a", OTHER: "desk-b"})
    client = await bed.client(1)
    loop = asyncio.get_running_loop()
    start = loop.time()
    users = [asyncio.ensure_future(use(bed, Flow(client, ROUTE),
                                       start + LENGTH_SECONDS))
             for _ in range(FLOWS)]
    await asyncio.sleep(2)
    if bed.trouble in ("1", "config"):
        bed.write_config({ROUTE: "desk-b", OTHER: "desk-b"})
    await asyncio.sleep(5)
    if bed.trouble in ("1", "roll"):
        for ip in bed.balancers:
            await bed.restart_node(ip, signal.SIGTERM)
            await asyncio.sleep(1.3)
    await asyncio.gather(*users)


end(run_case(__file__, play))
