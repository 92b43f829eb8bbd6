"""Plans of events: drawn from a seed, or read from a file."""

import dataclasses
import pathlib
import random

from proxy import FAULTS

NAMES = ("kill", "term", "freeze", "crash", "drain", "replace", "store",
         "links", "rules")
STORE_TROUBLES = ("down", "slow", "lost", "forget", "deaf")
EVENTS_PER_SECOND = 1.2


@dataclasses.dataclass
class Event:
    """One event; each kind uses the details that it needs."""

    at: float
    name: str
    host: str
    # Seconds until a program is started again, and that a trouble lasts.
    pause: float
    length: float
    # Chooses among the upstreams that are up, 0 to 1.
    pick: float
    how: str
    fault: str

    def line(self):
        """As it stands in a plan file."""
        return (f"{self.at:.2f} {self.name} {self.host} {self.pause:.2f} "
                f"{self.length:.2f} {self.pick:.3f} {self.how} {self.fault}")


def draw_plan(seed, seconds, hosts):
    """The same events for the same seed."""
    plan, at, events = random.Random(seed), 0.0, []
    while at < seconds:
        events.append(Event(
            at, plan.choice(NAMES), plan.choice(hosts),
            plan.uniform(0.05, 0.8), plan.uniform(0.3, 2.0), plan.random(),
            plan.choice(STORE_TROUBLES), plan.choice(FAULTS)))
        at += plan.expovariate(EVENTS_PER_SECOND)
    return events


def read_plan(path):
    """Events from a file; `#` begins a comment line."""
    events = []
    for line in pathlib.Path(path).read_text().splitlines():
        if line and not line.startswith("#"):
            at, name, host, pause, length, pick, how, fault = line.split()
            events.append(Event(float(at), name, host, float(pause),
                                float(length), float(pick), how, fault))
    return events
