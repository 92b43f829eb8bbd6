"""The first status of a new agent to one balancer is lost; soon afterwards the
other balancer is restarted and the routers move open flows."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))
import bed as lab  # noqa: E402

BALANCERS, OLD_AGENTS, NEW_AGENT = (10, 11), (21, 22), 23


class LossOfOne:
    """Loses the first datagram from one machine."""

    def __init__(self, bed, sender):
        self.bed, self.sender, self.lost = bed, sender, 0

    def __call__(self, datagram, sender):
        if self.bed.trouble and sender[0] == self.sender and not self.lost:
            self.lost += 1
            self.bed.record("datagram_lost", sender=sender[0],
                            size=len(datagram))
            return True
        return False


async def connect_machine(bed, host, others, port, drops):
    """Sets up the network between a machine, whose programs use `port`, and
    the `others`, whose programs use the usual internal port."""
    loop, usual = asyncio.get_running_loop(), bed.ports["internal"]
    await loop.create_datagram_endpoint(
        lambda: lab.Forwarder((host, port), drops), (host, usual))
    for other in others:
        await loop.create_datagram_endpoint(
            lambda other=other: lab.Forwarder((other, usual)), (other, port))


async def keep_using(flow, name, bed):
    """Sends requests on the flow until it ends."""
    for count in range(12):
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
    bed.store.stale_seconds = 4.5
    await bed.start_store(1, 2)
    bed.write_config()
    first, second = [bed.host(n) for n in BALANCERS]
    others = [bed.host(n) for n in (10, *OLD_AGENTS, NEW_AGENT)]
    port = bed.ports["internal"] + 100
    await connect_machine(bed, second, others, port,
                          LossOfOne(bed, bed.host(NEW_AGENT)))
    await bed.start_balancer(BALANCERS[0])
    await bed.start_balancer(BALANCERS[1], port, store=2)
    for number in OLD_AGENTS:
        await bed.start_server(f"s{number}", number)
    client = await bed.add_client(30)
    if not await bed.wait_for(
            lambda: all(m < 2 for m in bed.router.misses.values()), 15):
        raise lab.CannotRun("the balancers are not ready")
    # No machine is disturbed for longer than the stability window.
    await asyncio.sleep(lab.STABILITY_SECONDS + 2)

    def agent_list_reads():
        return sum(at == bed.host(2) and "allow_stale" in target
                   and "/galenafork-agents" in target
                   for _, at, _, target in bed.store.calls)

    # The second balancer reads the list of agents every few seconds. The new
    # server starts just after such a read, so that the phase is the same in
    # each run.
    reads = agent_list_reads()
    if not await bed.wait_for(lambda: agent_list_reads() > reads, 10):
        raise lab.CannotRun("the second balancer does not read the list")
    new = await bed.start_server("new", NEW_AGENT)
    started_at = time.monotonic()
    flows = []
    while time.monotonic() < started_at + 3:
        await asyncio.sleep(0.05)
        flow = client.new_flow(through=first)
        if await flow.open():
            flows.append(flow)
            await flow.request(f"first-{flow.src[1]}", 2.0)
        if sum(bed.server_of(f) is new for f in flows) >= 4:
            break
    at_new = sum(bed.server_of(f) is new for f in flows)
    bed.record("open_flows", at_new=at_new, all=len(flows))
    if at_new == 0:
        raise lab.CannotRun("no flow was opened at the new server")
    # The new machine has been running for the stability window before the
    # planned restart of the first balancer moves flows.
    await asyncio.sleep(started_at + 5.3 - time.monotonic())
    bed.record("sigterm", host=first)
    process = bed.processes[first]
    process.send_signal(signal.SIGTERM)
    await bed.wait_for(lambda: bed.router.misses[first] >= 2, 3)
    await asyncio.sleep(max(0.0, started_at + 6.2 - time.monotonic()))
    users = [bed.spawn(keep_using(f, f"q{i}", bed))
             for i, f in enumerate(flows)]
    await bed.wait_for(lambda: process.poll() is not None, lab.GRACE_SECONDS)
    bed.start_program(first, False)
    await asyncio.gather(*users)


if __name__ == "__main__":
    lab.main(script, pathlib.Path(__file__).resolve().parent)
