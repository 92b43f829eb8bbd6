"""Frontend machines are replaced at new addresses; later the open connections
to the store go silent and the configuration changes."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import bed as lib

KEPT = ("198.18.0.1", 8443)
GENERATIONS = 57
APPLY_S = lib.BOUNDS["config_apply_ms"] / 1000
STABLE_S = lib.BOUNDS["stability_window_ms"] / 1000
END_S = 110


async def start_balancer(bed, number):
    host = f"{bed.net}.1.{number + 1}"
    bed.start(host, "zone-a", "frontend")
    end = time.monotonic() + 15
    while bed.rotation.get(host, 2) >= 1:
        assert time.monotonic() < end, "the balancer did not become ready"
        await asyncio.sleep(0.05)
    return host


async def one_change(bed, version, dropped, added):
    """Drops one route and adds another while the connections to the store
    have been silent for longer than the stability window; returns the
    requests that were handled as only the older version allows."""
    if bed.trouble:
        bed.store.silence()
        bed.log("the open connections to the store go silent")
    await asyncio.sleep(STABLE_S + 0.5)
    bed.write_config(version, {KEPT: "service-1", added: "service-1"})
    acked, wrong = time.monotonic(), []
    bed.log(f"version {version} acknowledged: drops {dropped}, adds {added}")
    await asyncio.sleep(APPLY_S + 0.1)
    while time.monotonic() < acked + APPLY_S + 6:
        client = random.choice(bed.clients)
        for target, bad in ((dropped, "200"), (added, "reset")):
            sent = time.monotonic()
            outcome = await client.request(target, 1.0, 1)
            if outcome == bad:
                wrong.append((sent - acked, target, outcome))
        await asyncio.sleep(0.2)
    for after, target, outcome in wrong[:4]:
        bed.log(f"a request to {target} sent {after:.3f} s after the "
                f"acknowledgement: {outcome}")
    bed.log(f"{len(wrong)} requests sent later than {APPLY_S} s after the "
            "acknowledgement were handled as only an older version allows")
    return wrong


async def play(bed):
    await bed.listen()
    routes = [("198.18.0.2", 8000 + i) for i in range(8)]
    bed.write_config(7, {KEPT: "service-1", routes[0]: "service-1"})
    for i in range(2):
        await bed.add_server(f"{bed.net}.2.{i + 1}", "zone-a", "service-1")
    for i in range(2):
        await bed.add_client(f"{bed.net}.3.{i + 1}", "zone-a")
    balancer = await start_balancer(bed, 0)
    for number in range(1, (GENERATIONS if bed.trouble else 0) + 1):
        old, balancer = balancer, await start_balancer(bed, number)
        bed.remove(old, signal.SIGTERM)
    bed.log(f"balancer {balancer} is the last one of those replaced one after "
            "the other")
    await asyncio.sleep(STABLE_S + 1)
    wrong, number = [], 0
    while not wrong and time.monotonic() - bed.begin < END_S - 18:
        wrong = await one_change(bed, 10 + 3 * number, routes[number],
                                 routes[number + 1])
        number += 1
    served = [await bed.clients[0].request(KEPT) for _ in range(10)]
    bed.log(f"requests to the kept route: {served}")
    assert served.count("200") >= 8, "the system does not serve"
    bed.log(f"CONFIG {'broken' if wrong else 'held'}")
    return 1 if wrong else 0


if __name__ == "__main__":
    lib.main(pathlib.Path(__file__).resolve().parent, play)
