"""Cases of the guarantees under failure, one function each. A case returns a
list of checks: the text of the result, and whether it is as guaranteed."""

import signal
import time

from harness import ORDERS, PHOTOS
from processes import wait_until

# Time within which the buckets of a failed home must be open again, with the
# platform up or down.
MAX_TAKEOVER_SECONDS = {"up": 2.0, "down": 5.0}
# Time after which a draining upstream must get no new flows.
DRAIN_EFFECT_SECONDS = 3.0
# Time for which the fabric goes on sending packets to a paused balancer.
FABRIC_DETECTION_SECONDS = 0.5


def invariant_checks(totals):
    """Returns the checks that must pass whatever fails."""
    return [(f"answered={'some' if totals['answered'] else 'none'}",
             totals["answered"] > 0),
            (f"doubled={totals['doubled']}", totals["doubled"] == 0),
            (f"misdelivered={totals['misdelivered']}",
             totals["misdelivered"] == 0),
            (f"lost={totals['lost']}", totals["lost"] == 0),
            (f"false_not_run={totals['false_not_run']}",
             totals["false_not_run"] == 0)]


def planned_change_checks(totals):
    """Returns the checks that must pass during planned changes: no flow breaks
    and no request is refused."""
    return invariant_checks(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0),
        (f"refused={totals['refused']}", totals["refused"] == 0)]


def replace_all_balancers(case):
    """Every balancer is replaced during transfers of photo sets."""
    case.start()
    case.start_callers(8, "--photo-life-ms", 8000)
    for old in list(case.system.balancers):
        new = case.system.start_balancer()
        case.system.wait_for_balancer(new)
        case.system.set_fabric_balancers()
        case.system.stop_balancer(old)
    return planned_change_checks(case.wait_for_totals())


def replace_all_upstreams(case):
    """Every upstream and agent is replaced while flows are open."""
    case.start()
    case.start_callers(30, "--photo-life-ms", 5000, "--life-ms", 3000)
    for old in case.instances_of(ORDERS) + case.instances_of(PHOTOS):
        case.replace(old)
    return planned_change_checks(case.wait_for_totals())


def change_rules(case):
    """Rules are changed ten times while flows are open."""
    case.start()
    case.start_callers(8, "--photo-life-ms", 8000)
    rules = case.system._folder / "changed-rules"
    base = "".join(f"{s.kind} {s.address} -> {s.name}  # {s.requested_by}\n"
                   for s in case.system.services)
    for n in range(10):
        extra = f"udp 10.9.1.{n + 1}:99 -> extra  # Ewa, round {n}\n"
        rules.write_text(base + extra)
        case.system.run_galenactl("rules", "apply", rules, "--new-services")
        time.sleep(0.3)
    return planned_change_checks(case.wait_for_totals())


def all_change_at_once(case):
    """A balancer, an upstream and the rules change at the same moment."""
    case.start(balancers=3)
    case.start_callers(15, "--photo-life-ms", 5000, "--life-ms", 3000)
    for _ in range(2):
        new = case.system.start_instance(ORDERS)
        case.system.kill_balancer(case.system.balancers[0])
        case.system.start_balancer()
        case.system.wait_for_instance(new)
        case.system.set_fabric_balancers()
        case.drain(case.instances_of(ORDERS)[0])
    return planned_change_checks(case.wait_for_totals())


def lossy_fabric(case):
    """The fabric loses, duplicates and reorders datagrams. Each answer must
    still match its request, and no request may run twice."""
    case.start(fabric=("--drop-permille", 20, "--duplicate-permille", 50,
                       "--reorder-permille", 50))
    case.start_callers(8)
    totals = case.wait_for_totals()
    return invariant_checks(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0)]


def kill_agents(case):
    """Agents and upstreams are killed while they serve intake requests."""
    case.start(orders=4)
    case.start_callers(10)
    for _ in range(2):
        time.sleep(1.5)
        case.system.kill_instance(case.instances_of(ORDERS)[0])
        case.add_instance(ORDERS)
    return invariant_checks(case.wait_for_totals())


def kill_two_together(case):
    """Two of five members are killed at once."""
    case.start(orders=5)
    case.start_callers(10)
    time.sleep(2)
    for old in case.instances_of(ORDERS)[:2]:
        case.system.kill_instance(old)
    time.sleep(3)
    case.add_instance(ORDERS)
    return invariant_checks(case.wait_for_totals())


def pause_agent(case):
    """An agent is paused until after its lease has expired, and goes on
    without having noticed; twice."""
    case.start()
    case.start_callers(12)
    for _ in range(2):
        time.sleep(1)
        agent = case.instances_of(ORDERS)[1].agent
        agent.signal(signal.SIGSTOP)
        time.sleep(2.5)
        agent.signal(signal.SIGCONT)
        time.sleep(1)
    return invariant_checks(case.wait_for_totals())


def pause_balancer(case):
    """A balancer is paused while an upstream is replaced, and removed from the
    fabric after a while. When it goes on, it forwards packets by its old
    state."""
    case.start(balancers=3)
    case.start_callers(12, "--photo-life-ms", 4000, "--life-ms", 3000)
    paused = case.system.balancers[0]
    paused.process.signal(signal.SIGSTOP)
    time.sleep(FABRIC_DETECTION_SECONDS)
    case.system.set_fabric_balancers(case.system.balancers[1:])
    case.replace(case.instances_of(ORDERS)[0])
    case.system.set_fabric_balancers()
    paused.process.signal(signal.SIGCONT)
    totals = case.wait_for_totals()
    return invariant_checks(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0)]


def platform_outage(case):
    """The platform is down. Flows must go on, new flows must open, and a new
    balancer must get its state from its peers."""
    case.start()
    case.start_callers(10, "--life-ms", 1000, "--photo-life-ms", 6000)
    time.sleep(1)
    case.system.set_platform_faults(outage=True)
    time.sleep(2)
    new = case.system.start_balancer()
    case.system.wait_for_balancer(new)
    case.system.set_fabric_balancers()
    case.system.kill_balancer(case.system.balancers[0])
    case.system.set_fabric_balancers()
    time.sleep(3)
    case.system.set_platform_faults()
    totals = case.wait_for_totals()
    return invariant_checks(totals) + [
        (f"broken={totals['broken']}", totals["broken"] == 0)]


def lost_answers(case):
    """The platform applies six writes without answering them while an
    instance is replaced."""
    case.start()
    case.start_callers(15, "--photo-life-ms", 5000, "--life-ms", 3000)
    case.system.set_platform_faults(lose_answer_next_writes=6)
    case.replace(case.instances_of(ORDERS)[0])
    return planned_change_checks(case.wait_for_totals())


def slow_platform(case):
    """The platform answers all calls late and 10 % with an error while an
    instance is replaced."""
    case.start()
    case.start_callers(15, "--photo-life-ms", 5000, "--life-ms", 3000)
    case.system.set_platform_faults(delay_ms=150, fail_rate=0.1)
    case.replace(case.instances_of(ORDERS)[0])
    return planned_change_checks(case.wait_for_totals())


def overload(case):
    """The load exceeds the capacity of the upstreams. Some requests must be
    refused, and a request refused as not run must not have run."""
    case.start(orders=2, upstream=("--intake-ms", 400, "--queue", 1000))
    case.start_callers(6, "--pause-ms", 5, "--intake-flows", 120,
                       "--life-ms", 60000, "--ack-timeout-ms", 3000)
    totals = case.wait_for_totals()
    return invariant_checks(totals) + [
        (f"refused={'some' if totals['refused'] else 'none'}",
         totals["refused"] > 0)]


def takeover(case, platform):
    """A member is killed. Checks the time until the homes of all buckets are
    open again."""
    case.start()
    case.start_callers(8, "--life-ms", 500)
    time.sleep(1)
    if platform == "down":
        case.system.set_platform_faults(outage=True)
        time.sleep(0.5)
    case.system.kill_instance(case.instances_of(ORDERS)[0])
    start = time.monotonic()

    def all_open():
        states = [case.system.status(i) for i in case.instances_of(ORDERS)]
        return (sum(s["homes"] for s in states) == 256 and
                sum(s["open_homes"] for s in states) == 256)
    max_seconds = MAX_TAKEOVER_SECONDS[platform]
    wait_until(all_open, 4 * max_seconds, "homes open again")
    took = time.monotonic() - start
    return invariant_checks(case.wait_for_totals()) + [
        (f"open_again={'in time' if took <= max_seconds else f'{took:.1f} s'}",
         took <= max_seconds)]


def takeover_platform_up(case):
    """The buckets of a failed home open again within 2 s."""
    return takeover(case, "up")


def takeover_platform_down(case):
    """The buckets of a failed home open again within 5 s while the platform is
    down."""
    return takeover(case, "down")


def drain_bound(case):
    """After `galenactl drain` an upstream opens no more flows, and its agent
    is home of no bucket any more."""
    case.start()
    case.start_callers(12, "--life-ms", 500, "--photo-life-ms", 1000)
    time.sleep(1)
    leaving = case.instances_of(ORDERS)[0]
    case.system.run_galenactl("drain", "orders", leaving.name)
    time.sleep(DRAIN_EFFECT_SECONDS)
    flows = case.system.status(leaving)["flows"]
    time.sleep(1.5)
    later = case.system.status(leaving)
    return planned_change_checks(case.wait_for_totals()) + [
        ("flows only end", later["flows"] <= flows),
        (f"homes={later['homes']}", later["homes"] == 0)]


CASES = [replace_all_balancers, replace_all_upstreams, change_rules,
         all_change_at_once, lossy_fabric, kill_agents, kill_two_together,
         pause_agent, pause_balancer, platform_outage, lost_answers,
         slow_platform, overload, takeover_platform_up,
         takeover_platform_down, drain_bound]
