"""Checks that balancers apply new rules and evacuations in time while the store
lists balancers whose instances are gone. Guards against review/9 and review/7:
balancers waited longer between two reads the more entries the store held, so
that a change which a silent watch missed was applied up to 25 s late."""

import asyncio
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "soak"), str(FOLDER.parent / "lib")]

from processes import PortAllocator  # noqa: E402
from store import Store  # noqa: E402

NET = "127.31"
BALANCERS = "galenafork-balancers"
# Time limits in the settings of the balancers, and the time for which all
# processes and connections are undisturbed before a limit applies.
RULES_SECONDS, EVACUATION_SECONDS, STABLE_SECONDS = 3, 5, 4
# Time in which a log line reaches its file.
LOG_SECONDS = 0.3
START_SECONDS = 10
GRACE_SECONDS = 6


class SilentStore(Store):
    """A store whose open connections can go silent without a reset."""

    def __init__(self):
        super().__init__()
        self._writers = set()

    async def serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self._writers.discard(writer)

    def silence(self):
        """Drops all that the store sends on connections that are open now."""
        for writer in self._writers:
            writer.write = lambda data: None


class Failed(Exception):
    """A check failed; the text says which."""


class Bed:
    """The store and the balancers of one run."""

    def __init__(self, binaries, folder):
        self.program = pathlib.Path(binaries) / "galena-pass-balancer"
        self.folder = pathlib.Path(folder)
        self._allocator = PortAllocator()
        self.ports = [int(self._allocator.allocate().split(":")[1])
                      for _ in range(4)]
        self.internal = self._two_adjacent_ports()
        self.store, self.processes, self.version = SilentStore(), {}, 0

    def _two_adjacent_ports(self):
        ports = sorted(int(self._allocator.allocate().split(":")[1])
                       for _ in range(40))
        return next((a, b) for a, b in zip(ports, ports[1:]) if b == a + 1)

    def write_rules(self):
        self.version += 1
        self.store.write(("config", "main"), {
            "version": self.version, "routes": [], "services": [],
            "limits": {"idle_timeout_ms": 15000}})

    def start(self, host):
        packets, readiness, reports, store = self.ports
        path = self.folder / f"{host}.yaml"
        path.write_text(
            f'node_name: "n-{host}"\nzone: "a"\nip: "{host}"\nlisten_addrs:\n'
            f'  datagram_addr: "{host}:{packets}"\n'
            f'  readiness: "{host}:{readiness}"\n'
            f'  control_plane: "{host}:{reports}"\ninternal_ports:\n'
            f'  - {self.internal[0]}\n  - {self.internal[1]}\nseeds: []\n'
            'bootstrap: false\nheartbeat_ms: 500\nbounds:\n'
            f'  grace_s: {GRACE_SECONDS}\n'
            f'  config_apply_ms: {1000 * RULES_SECONDS}\n'
            f'  evacuate_ms: {1000 * EVACUATION_SECONDS}\n'
            f'platform:\n  address: "{NET}.0.1:{store}"\n')
        with open(self.folder / f"{host}.log", "ab") as log:
            self.processes[host] = subprocess.Popen(
                [self.program, "--config", path], stdin=subprocess.DEVNULL,
                stdout=log, stderr=log)

    def log(self, host):
        return (self.folder / f"{host}.log").read_text(errors="replace")

    async def await_log(self, pattern, seconds, what):
        """Waits until the log of each running balancer has the pattern."""
        began, end = time.monotonic(), time.monotonic() + seconds
        while not all(re.search(pattern, self.log(host)) for host in
                      self.processes):
            if time.monotonic() > end:
                raise Failed(f"{what} was not applied within {seconds} s")
            await asyncio.sleep(0.05)
        print(f"gone_members: {what} after {time.monotonic() - began:.2f} s")

    async def check_rules(self):
        self.store.silence()
        await asyncio.sleep(STABLE_SECONDS)
        self.write_rules()
        await self.await_log(rf"event=rules_taken .*version={self.version} ",
                             RULES_SECONDS + LOG_SECONDS,
                             f"version {self.version} of the rules")

    async def check_evacuation(self, name):
        for entry in (name, "-"):
            if entry == "-":
                self.store.remove(("evacuations", name))
            else:
                self.store.write(("evacuations", name), {})
            await self.await_log(
                rf"event=evacuation_changed data_centres={entry} before="
                rf"{name if entry == '-' else '-'} ",
                EVACUATION_SECONDS + LOG_SECONDS, f"evacuation of {entry}")

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()


async def check_removal(bed):
    """A balancer that is stopped removes its entry before its process ends."""
    host = next(iter(bed.processes))
    process = bed.processes.pop(host)
    process.send_signal(signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(
        None, lambda: process.wait(GRACE_SECONDS))
    if (BALANCERS, host) in bed.store.objects:
        raise Failed(f"the entry of {host} outlives its process")


async def play(bed, gone, running):
    """Checks `running` balancers beside entries of `gone` others."""
    await bed.store.listen(f"{NET}.0.1", bed.ports[3])
    for i in range(gone):
        host = f"{NET}.9.{i + 1}"
        bed.store.write((BALANCERS, host),
                        {"host": host, "data_centre": "a", "service": ""})
    bed.write_rules()
    for i in range(running):
        bed.start(f"{NET}.1.{i + 1}")
    await bed.await_log("event=rules_taken ", START_SECONDS, "the first rules")
    # Time for several reads of the list of balancers.
    await asyncio.sleep(STABLE_SECONDS + 1)
    for name in ("b", "c"):
        await bed.check_evacuation(name)
        await bed.check_rules()
    await check_removal(bed)


def main(binaries, gone, running):
    """Plays one case, and ends this process with its result."""
    with tempfile.TemporaryDirectory() as folder:
        bed = Bed(binaries, folder)
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        loop, code = asyncio.new_event_loop(), 0
        try:
            loop.run_until_complete(play(bed, gone, running))
        except Failed as e:
            print(f"gone_members: FAILED with {running} running and {gone} "
                  f"gone: {e}")
            for host in bed.processes:
                print("\n".join(bed.log(host).splitlines()[-15:]))
            code = 1
        finally:
            bed.close()
    # The tasks of open connections are left as they are.
    sys.stdout.flush()
    os._exit(code)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
