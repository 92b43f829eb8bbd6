"""Agents and balancers are stopped and started in turn, as for an upgrade. All
servers live. A client must not get a reset on a flow that is open."""

import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from bed import end, run_case  # noqa: E402
from peers import Flow  # noqa: E402

ROUTE = ("198.18.0.1", 8443)
USERS, LENGTH_SECONDS, FLOW_SECONDS = 80, 90, 30


async def use(bed, client, until):
    """Keeps a flow open for many requests, with pauses between them."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        flow = Flow(client, ROUTE)
        outcome = await flow.open()
        bed.count(f"flows {outcome}")
        flow_end = loop.time() + FLOW_SECONDS
        while outcome == "open" and loop.time() < min(until, flow_end):
            await asyncio.sleep(random.uniform(0.2, 0.6))
            outcome = await flow.request()
            bed.count(f"requests {outcome}")
            outcome = "open" if outcome == "ok" else outcome
        flow.close()
        await asyncio.sleep(0.5)


async def roll(bed, nodes, at_a_time, gap, until):
    """Stops and starts the nodes in turn, again and again."""
    loop = asyncio.get_running_loop()
    turn = 0
    while loop.time() < until:
        batch = [nodes[(turn + i) % len(nodes)] for i in range(at_a_time)]
        turn += at_a_time
        await asyncio.gather(*(bed.restart_node(ip, signal.SIGTERM)
                               for ip in batch))
        await asyncio.sleep(gap)


async def play(bed):
    bed.planned = True
    for i in range(8):
        bed.add_server(i + 1, "desk")
    await bed.set_up({ROUTE: "desk"})
    client = await bed.client(1)
    loop = asyncio.get_running_loop()
    until = loop.time() + LENGTH_SECONDS
    tasks = [asyncio.ensure_future(use(bed, client, until))
             for _ in range(USERS)]
    await asyncio.sleep(2)
    if bed.trouble in ("1", "agents"):
        tasks.append(roll(bed, [s.ip for s in bed.servers], 2, 1.2, until - 6))
    if bed.trouble in ("1", "balancers"):
        tasks.append(roll(bed, bed.balancers, 3, 1.3, until - 6))
    await asyncio.gather(*tasks)


end(run_case(__file__, play, balancers=8))
