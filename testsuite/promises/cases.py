"""The brief's promises under failure, one function for each case. A case
returns facts: what was looked at, and whether it is as promised."""

import signal
import time

from harness import ORDERS, PHOTOS
from processes import wait_until

# Longest time until a lost home's buckets open again.
TAKEOVER_SECONDS = {"up": 2.0, "down": 5.0}
# A leaving upstream gets no new work after so long.
DRAIN_BOUND_SECONDS = 3.0
# How long the fabric goes on sending to a balancer that stands still.
FABRIC_NOTICES_SECONDS = 0.5


def never_wrong(totals):
    """What holds whatever fails."""
    return [(f"answered={'some' if totals['answered'] else 'none'}",
             totals["answered"] > 0),
            (f"doubled={totals['doubled']}", totals["doubled"] == 0),
            (f"misdelivered={totals['misdelivered']}",
             totals["misdelivered"] == 0),
            (f"lost={totals['lost']}", totals["lost"] == 0),
            (f"false_not_run={totals['false_not_run']}",
             totals["false_not_run"] == 0)]


def unbroken(totals):
    """What holds through every planned change."""
    return never_wrong(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0),
        (f"refused={totals['refused']}", totals["refused"] == 0)]


def replace_all_balancers(case):
    """Every balancer is replaced while photo sets are under way."""
    case.start()
    case.call(8, "--photo-life-ms", 8000)
    for old in list(case.system.balancers):
        new = case.system.start_balancer()
        case.system.wait_for_balancer(new)
        case.system.list_balancers()
        case.system.stop_balancer(old)
    return unbroken(case.totals())


def replace_all_upstreams(case):
    """Every upstream and agent is replaced while flows are open."""
    case.start()
    case.call(30, "--photo-life-ms", 5000, "--life-ms", 3000)
    for old in case.of(ORDERS) + case.of(PHOTOS):
        case.replace(old)
    return unbroken(case.totals())


def change_rules(case):
    """Rules are changed ten times while flows are open."""
    case.start()
    case.call(8, "--photo-life-ms", 8000)
    rules = case.system._folder / "changed-rules"
    base = "".join(f"{s.kind} {s.address} -> {s.name}  # {s.requested_by}\n"
                   for s in case.system.services)
    for n in range(10):
        extra = f"udp 10.9.1.{n + 1}:99 -> extra  # Ewa, round {n}\n"
        rules.write_text(base + extra)
        case.system.control("rules", "apply", rules, "--new-services")
        time.sleep(0.3)
    return unbroken(case.totals())


def all_change_at_once(case):
    """A balancer, an upstream and the rules change at the same moment."""
    case.start(balancers=3)
    case.call(15, "--photo-life-ms", 5000, "--life-ms", 3000)
    for _ in range(2):
        new = case.system.start_instance(ORDERS)
        case.system.kill_balancer(case.system.balancers[0])
        case.system.start_balancer()
        case.system.wait_for_instance(new)
        case.system.list_balancers()
        case.drain(case.of(ORDERS)[0])
    return unbroken(case.totals())


def lossy_fabric(case):
    """The fabric loses, doubles and reorders: answers still find their own
    requests and nothing runs twice."""
    case.start(fabric=("--drop-permille", 20, "--duplicate-permille", 50,
                       "--reorder-permille", 50))
    case.call(8)
    totals = case.totals()
    return never_wrong(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0)]


def kill_agents(case):
    """Agents and upstreams die without warning in the middle of intakes."""
    case.start(orders=4)
    case.call(10)
    for _ in range(2):
        time.sleep(1.5)
        case.system.kill_instance(case.of(ORDERS)[0])
        case.join(ORDERS)
    return never_wrong(case.totals())


def kill_two_together(case):
    """Two of five members die in the same instant."""
    case.start(orders=5)
    case.call(10)
    time.sleep(2)
    for old in case.of(ORDERS)[:2]:
        case.system.kill_instance(old)
    time.sleep(3)
    case.join(ORDERS)
    return never_wrong(case.totals())


def pause_agent(case):
    """An agent sleeps past its lease and wakes unaware, twice."""
    case.start()
    case.call(12)
    for _ in range(2):
        time.sleep(1)
        agent = case.of(ORDERS)[1].agent
        agent.signal(signal.SIGSTOP)
        time.sleep(2.5)
        agent.signal(signal.SIGCONT)
        time.sleep(1)
    return never_wrong(case.totals())


def pause_balancer(case):
    """A balancer sleeps while an upstream is replaced; the fabric passes it
    over after a while. It wakes and sends on with what it knew."""
    case.start(balancers=3)
    case.call(12, "--photo-life-ms", 4000, "--life-ms", 3000)
    sleeper = case.system.balancers[0]
    sleeper.process.signal(signal.SIGSTOP)
    time.sleep(FABRIC_NOTICES_SECONDS)
    case.system.list_balancers(case.system.balancers[1:])
    case.replace(case.of(ORDERS)[0])
    case.system.list_balancers()
    sleeper.process.signal(signal.SIGCONT)
    totals = case.totals()
    return never_wrong(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0)]


def platform_outage(case):
    """The platform is gone: flows go on, new ones open, a new balancer takes
    its state from its peers."""
    case.start()
    case.call(10, "--life-ms", 1000, "--photo-life-ms", 6000)
    time.sleep(1)
    case.system.set_platform_faults(outage=True)
    time.sleep(2)
    new = case.system.start_balancer()
    case.system.wait_for_balancer(new)
    case.system.list_balancers()
    case.system.kill_balancer(case.system.balancers[0])
    case.system.list_balancers()
    time.sleep(3)
    case.system.set_platform_faults()
    totals = case.totals()
    return never_wrong(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0)]


def lost_answers(case):
    """The platform takes each write and loses the answer, while instances
    join and leave."""
    case.start()
    case.call(15, "--photo-life-ms", 5000, "--life-ms", 3000)
    case.system.set_platform_faults(lose_answer_next_writes=6)
    case.replace(case.of(ORDERS)[0])
    return unbroken(case.totals())


def slow_platform(case):
    """The platform answers each call late and some with an error."""
    case.start()
    case.call(15, "--photo-life-ms", 5000, "--life-ms", 3000)
    case.system.set_platform_faults(delay_ms=150, fail_rate=0.1)
    case.replace(case.of(ORDERS)[0])
    return unbroken(case.totals())


def overload(case):
    """More than the upstreams can take: refusals as not run are true."""
    case.start(orders=2, upstream=("--intake-ms", 400, "--queue", 1000))
    case.call(6, "--pause-ms", 5, "--intake-flows", 120, "--life-ms", 60000,
              "--ack-timeout-ms", 3000)
    totals = case.totals()
    return never_wrong(totals) + [
        (f"refused={'some' if totals['refused'] else 'none'}",
         totals["refused"] > 0)]


def takeover(case, platform):
    """Seconds from a member's death until every home is open again."""
    case.start()
    case.call(8, "--life-ms", 500)
    time.sleep(1)
    if platform == "down":
        case.system.set_platform_faults(outage=True)
        time.sleep(0.5)
    case.system.kill_instance(case.of(ORDERS)[0])
    start = time.monotonic()

    def all_open():
        states = [case.system.status(i) for i in case.of(ORDERS)]
        return (sum(s["homes"] for s in states) == 256 and
                sum(s["open_homes"] for s in states) == 256)
    bound = TAKEOVER_SECONDS[platform]
    wait_until(all_open, 4 * bound, "homes open again")
    took = time.monotonic() - start
    return never_wrong(case.totals()) + [
        (f"open_again={'in time' if took <= bound else f'{took:.1f} s'}",
         took <= bound)]


def takeover_platform_up(case):
    """A lost home's buckets open again in 2 s."""
    return takeover(case, "up")


def takeover_platform_down(case):
    """As above in an outage, in 5 s."""
    return takeover(case, "down")


def drain_bound(case):
    """After `galenactl drain` an upstream opens no flow and gets no new work
    once its flows have ended."""
    case.start()
    case.call(12, "--life-ms", 500, "--photo-life-ms", 1000)
    time.sleep(1)
    leaving = case.of(ORDERS)[0]
    case.system.control("drain", "orders", leaving.name)
    time.sleep(DRAIN_BOUND_SECONDS)
    flows = case.system.status(leaving)["flows"]
    time.sleep(1.5)
    later = case.system.status(leaving)
    return unbroken(case.totals()) + [
        ("flows only end", later["flows"] <= flows),
        (f"homes={later['homes']}", later["homes"] == 0)]


CASES = [replace_all_balancers, replace_all_upstreams, change_rules,
         all_change_at_once, lossy_fabric, kill_agents, kill_two_together,
         pause_agent, pause_balancer, platform_outage, lost_answers,
         slow_platform, overload, takeover_platform_up,
         takeover_platform_down, drain_bound]
