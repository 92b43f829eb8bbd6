"""Cases that run side by side must get different ports. Their programs bind the
ports later, so a port that is only free when it is chosen can be taken twice, or
by an outgoing connection."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

from processes import PortAllocator  # noqa: E402

PORTS = 300


def port_of(address):
    return int(address.rsplit(":", 1)[1])


def main():
    allocators = [PortAllocator() for _ in range(4)]
    ports = [port_of(a.allocate()) for a in allocators for _ in range(PORTS)]
    repeated = len(ports) - len(set(ports))
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    ephemeral = sum(first <= port <= last for port in ports)
    print(f"{len(ports)} ports, {repeated} repeated, {ephemeral} in the range "
          "of outgoing connections")
    return 1 if repeated or ephemeral else 0


sys.exit(main())
