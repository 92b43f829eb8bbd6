"""Plans of events, generated from a seed or read from a file."""

import dataclasses
import pathlib
import random

from proxy import LINK_FAULTS

EVENT_KINDS = ("kill", "term", "freeze", "crash", "drain", "replace", "store",
               "links", "rules")
STORE_FAULTS = ("down", "slow", "lost", "forget", "deaf")
EVENTS_PER_SECOND = 1.2


@dataclasses.dataclass
class Event:
    """An event of a plan. Each kind of event uses only some of the fields."""

    # Seconds since the start of the plan.
    at_s: float
    kind: str
    host: str
    # How long a stopped program stays down.
    downtime_s: float
    # How long a fault lasts.
    duration_s: float
    # Chooses the victim among the upstreams that are up: from 0 to below 1.
    victim_fraction: float
    store_fault: str
    link_fault: str

    def to_line(self):
        """Returns the event as a line of a plan file."""
        return (f"{self.at_s:.2f} {self.kind} {self.host} "
                f"{self.downtime_s:.2f} {self.duration_s:.2f} "
                f"{self.victim_fraction:.3f} {self.store_fault} "
                f"{self.link_fault}")


def generate_plan(seed, seconds, hosts):
    """Returns random events for `seconds`, the same ones for the same seed."""
    rng, at_s, events = random.Random(seed), 0.0, []
    while at_s < seconds:
        events.append(Event(
            at_s, rng.choice(EVENT_KINDS), rng.choice(hosts),
            rng.uniform(0.05, 0.8), rng.uniform(0.3, 2.0), rng.random(),
            rng.choice(STORE_FAULTS), rng.choice(LINK_FAULTS)))
        at_s += rng.expovariate(EVENTS_PER_SECOND)
    return events


def read_plan(path):
    """Reads events from a file. Lines that begin with `#` are comments."""
    events = []
    for line in pathlib.Path(path).read_text().splitlines():
        if line and not line.startswith("#"):
            at, kind, host, downtime, length, victim, store, link = line.split()
            events.append(Event(float(at), kind, host, float(downtime),
                                float(length), float(victim), store, link))
    return events
