"""Frontend machines are replaced at new addresses; later a zone is
evacuated."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))
import bed as lib

TARGET = ("198.18.0.1", 8443)
GENERATIONS = 17
EVACUATE_S = lib.BOUNDS["evacuate_ms"] / 1000
STABLE_S = lib.BOUNDS["stability_window_ms"] / 1000
PLAY_S = 108


async def generate_load(bed, outcomes):
    while True:
        task = asyncio.ensure_future(
            random.choice(bed.clients).request(TARGET))
        task.add_done_callback(lambda t: outcomes.append(
            (time.monotonic(), t.result())) if not t.cancelled() else None)
        bed.tasks.append(task)
        await asyncio.sleep(random.expovariate(40))


async def start_pair(bed, number):
    """Starts two balancers, one a zone, and waits until both are ready."""
    hosts = [f"{bed.net}.1.{2 * number + 1}", f"{bed.net}.1.{2 * number + 2}"]
    for host, zone in zip(hosts, ("zone-a", "zone-b")):
        bed.start(host, zone, "frontend")
    end = time.monotonic() + 15
    while any(bed.rotation.get(h, 2) >= 1 for h in hosts):
        assert time.monotonic() < end, "balancers did not become ready"
        await asyncio.sleep(0.05)
    bed.log(f"balancers {hosts} are ready")
    return hosts


async def evacuate(bed, zone, for_s):
    """Evacuates a zone for a while; returns the opening packets that its
    servers took although they were sent and arrived after the bound."""
    begin = time.monotonic()
    bed.store.put(("evacuations", zone), {})
    acked = time.monotonic()
    bed.log(f"evacuation of {zone} acknowledged")
    await asyncio.sleep(for_s)
    removed = time.monotonic()
    bed.store.delete(("evacuations", zone))
    bed.log(f"evacuation of {zone} taken back")
    late = []
    for server in bed.servers:
        took = [(at, flow) for at, flow in server.taken
                if begin < at < removed]
        if server.zone != zone:
            continue
        for at, flow in took:
            sent, through = bed.sent[flow]
            machine = bed.machines.get(through)
            in_touch = machine and at - machine["since"] > STABLE_S
            if sent > acked + EVACUATE_S and at > acked + EVACUATE_S \
                    and in_touch:
                late.append((at - acked, flow, server.host, through))
    for after, flow, host, through in late[:5]:
        bed.log(f"server {host} in {zone} took {flow} {after:.3f} s after the "
                f"acknowledgement, through {through}")
    bed.log(f"{len(late)} opening packets reached {zone} later than "
            f"{EVACUATE_S} s after the acknowledgement")
    return late


async def play(bed):
    await bed.listen()
    bed.write_config(7, {TARGET: "service-1"})
    pair = [f"{bed.net}.1.{n}" for n in (1, 2)]
    for i in range(4):
        await bed.add_server(f"{bed.net}.2.{i + 1}",
                             ("zone-a", "zone-b")[i % 2], "service-1")
    for i in range(4):
        await bed.add_client(f"{bed.net}.3.{i + 1}",
                             ("zone-a", "zone-b")[i % 2])
    pair = await start_pair(bed, 0)
    outcomes = []
    bed.tasks.append(asyncio.ensure_future(generate_load(bed, outcomes)))
    replacements = GENERATIONS if bed.trouble else 0
    for number in range(1, replacements + 1):
        old, pair = pair, await start_pair(bed, number)
        for host in old:
            bed.remove(host, signal.SIGTERM)
        bed.log(f"machines {old} were stopped with SIGTERM and taken away")
    await asyncio.sleep(STABLE_S + 2)
    late = []
    while time.monotonic() - bed.begin < PLAY_S - 20:
        for zone in ("zone-a", "zone-b"):
            late += await evacuate(bed, zone, EVACUATE_S + 2.5)
            await asyncio.sleep(2)
        if late:
            break
    served = [o for _, o in outcomes].count("200")
    bed.log(f"{len(outcomes)} requests, {served} served; outcomes "
            f"{ {o: [x for _, x in outcomes].count(o) for o in set(x for _, x in outcomes)} }")
    assert served > 0.5 * len(outcomes), "the system does not serve"
    bed.log(f"EVAC {'broken' if late else 'held'}: {len(late)} late")
    return 1 if late else 0


if __name__ == "__main__":
    lib.main(pathlib.Path(__file__).resolve().parent, play)
