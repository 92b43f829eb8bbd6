"""Cases of the operators' commands. Prints one line for each case. The exit
status is 1 if a check failed."""

import argparse
import os
import sys
import tempfile

import race
from standin import Operator, PlatformStandin

OK, FAILURE, USAGE, BAD_SETTINGS, BAD_RULES, NOT_ACCEPTED, UNKNOWN, \
    NOT_FOUND = range(8)

BUCKETS = 256
NO_MEMBER = 0xFFFF


class Case:
    """What the cases share: a platform stand-in, galenactl's settings and a
    folder for files."""

    def __init__(self, bin_dir, folder, standin):
        self.bin_dir = bin_dir
        self.folder = folder
        self.standin = standin
        self.config = self.write(
            "galenactl.toml",
            f'[platform]\naddress = "{standin.address}"\n'
            'deadline = "1500 ms"\n')

    def operator(self, author="jana"):
        return Operator(self.bin_dir, self.config, author)

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path


def equal(got, expected, what):
    if got != expected:
        raise AssertionError(f"{what}: got {got!r}, expected {expected!r}")


def rule_line(last_byte, author="Jana"):
    return f"udp 10.9.0.{last_byte}:5683 -> orders   # {author}\n"


def apply_rules(case, text, *options, author="jana"):
    path = case.write("apply.rules", text)
    return case.operator(author).run("rules", "apply", path, *options)


def check_finds_faults(case):
    good = case.write("good.rules", rule_line(1))
    code, out = case.operator().run("rules", "check", good)
    equal(code, OK, "good file")
    equal(len(out["rules"]), 1, "rules")
    bad = case.write("bad.rules", "tcp 10.9.0.1:1 -> orders # a\n"
                     "udp 10.9.0.1:1 -> orders\n")
    code, out = case.operator().run("rules", "check", bad)
    equal(code, BAD_RULES, "bad file")
    positions = [(f["line"], f["column"]) for f in out["faults"]]
    equal(positions, [(1, 1), (2, 25), (2, 5)], "positions")
    code, _ = case.operator().run("rules", "check", bad + ".missing")
    equal(code, BAD_RULES, "missing file")


def command_line_is_checked(case):
    for arguments in (["rules"], ["frobnicate"], ["drain", "orders"],
                      ["rules", "show", "--at", "x"], ["--bogus"]):
        process = case.operator().start(*arguments)
        _, errors = process.communicate(timeout=60)
        equal(process.returncode, USAGE, arguments)
        equal("usage: galenactl" in errors, True,
              f"{arguments} shows the usage")
    config = case.write("bad.toml", '[platform]\naddress = "nowhere"\n')
    process = Operator(case.bin_dir, config, "jana").start("rules", "show")
    _, errors = process.communicate(timeout=60)
    equal(process.returncode, BAD_SETTINGS, "bad settings")
    equal(f"{config}:2:" in errors, True, "position in the settings")


def rules_are_applied_and_kept(case):
    code, _ = case.operator().run("rules", "show")
    equal(code, NOT_FOUND, "no rules yet")
    code, out = apply_rules(case, rule_line(1))
    equal(code, BAD_RULES, "service that was never announced")
    equal(out["faults"][0]["column"], 22, "column of the service")
    first = rule_line(1)
    code, out = apply_rules(case, first, "--new-services")
    equal((code, out["outcome"], out["version"]), (OK, "accepted", 1), "first")
    code, out = apply_rules(case, first, "--new-services")
    equal((code, out["outcome"]), (OK, "unchanged"), "same file again")
    second = rule_line(1) + rule_line(2, "Piotr")
    code, out = apply_rules(case, second, "--new-services", "--base", "1")
    equal((code, out["version"]), (OK, 2), "second")
    code, out = case.operator().run("rules", "show", "--at", "1")
    equal((code, out["text"]), (OK, first), "text of version 1")
    code, _ = case.operator().run("rules", "show", "--at", "9")
    equal(code, NOT_FOUND, "version that does not exist")


def loser_sees_the_winner(case):
    apply_rules(case, rule_line(1), "--new-services", author="piotr")
    code, out = apply_rules(case, rule_line(2), "--new-services", "--base", "0")
    equal((code, out["outcome"]), (NOT_ACCEPTED, "not_accepted"), "loser")
    equal(out["winner"]["author"], "piotr", "winner")
    equal([r["address"] for r in out["difference"]["added"]],
          ["10.9.0.2:5683"], "difference")


def lost_answers_are_settled(case):
    case.standin.set_faults(lose_answer_next_writes=1)
    code, out = apply_rules(case, rule_line(1), "--new-services")
    equal((code, out["outcome"]), (OK, "accepted"), "lost answer")
    case.standin.set_faults(lose_answer_next_writes=1, conflict_next_writes=1)
    code, out = apply_rules(case, rule_line(2), "--new-services")
    equal((code, out["outcome"]), (NOT_ACCEPTED, "not_accepted"), "lost race")
    case.standin.set_faults(lose_answer_next_writes=1000000)
    code, out = apply_rules(case, rule_line(3), "--new-services")
    equal((code, out["outcome"]), (UNKNOWN, "unknown"), "never answered")
    write_id = out["write_id"]
    case.standin.set_faults()
    _, out = case.operator().run("rules", "history")
    equal(out["history"][-1]["write_id"], write_id, "history shows the write")


def stale_read_is_not_believed(case):
    apply_rules(case, rule_line(1), "--new-services")
    apply_rules(case, rule_line(2), "--new-services", author="piotr")
    case.standin.set_faults(stale_read=1)
    code, out = apply_rules(case, rule_line(1), "--new-services")
    equal((code, out["outcome"]), (NOT_ACCEPTED, "not_accepted"),
          "file of an older version")
    case.standin.set_faults(lose_answer_next_writes=1)
    code, out = apply_rules(case, rule_line(2), "--new-services")
    equal((code, out["outcome"], out["version"]), (OK, "unchanged", 2),
          "file of the active version, answer lost")
    _, out = case.operator().run("rules", "history")
    equal(len(out["history"]), 2, "versions")


def outage_changes_nothing(case):
    apply_rules(case, rule_line(1), "--new-services")
    case.standin.set_faults(outage=True)
    code, _ = apply_rules(case, rule_line(2), "--new-services")
    equal(code, FAILURE, "outage")
    case.standin.set_faults()
    _, out = case.operator().run("rules", "history")
    equal(len(out["history"]), 1, "versions")


def roster(states):
    """Returns a roster with one member for each state. Homes and deputies of
    the buckets are assigned to the serving members by turns."""
    members = [{"instance": f"o-{i}", "incarnation": 10 + i,
                "data_centre": "krakow", "packets": f"10.0.0.{i + 1}:7000",
                "control": f"10.0.0.{i + 1}:7001", "slots": 3, "state": state,
                "watchers": [], "watch_epoch": 1}
               for i, state in enumerate(states)]
    serving = [i for i, s in enumerate(states) if s == "serving"]
    homes = [serving[b % len(serving)] for b in range(BUCKETS)]
    deputies = [serving[(b + 1) % len(serving)] if len(serving) > 1
                else NO_MEMBER for b in range(BUCKETS)]
    return {"service": "orders", "epoch": 1, "recent_writes": [],
            "left": [],
            "members": members, "homes": homes, "deputies": deputies}


def member_status(case, instance):
    _, out = case.operator().run("status", "orders")
    members = out["services"][0]["members"]
    return next(m for m in members if m["instance"] == instance)


def instances_are_drained(case):
    case.standin.put("roster/orders", 0, roster(["serving"] * 3))
    code, out = case.operator().run("drain", "orders", "o-1")
    equal((code, out["outcome"]), (OK, "accepted"), "drain")
    drained = member_status(case, "o-1")
    equal((drained["state"], drained["home_buckets"]), ("draining", 0),
          "drained")
    code, out = case.operator().run("drain", "orders", "o-1")
    equal((code, out["outcome"]), (OK, "unchanged"), "drained already")
    case.standin.set_faults(lose_answer_next_writes=1)
    code, out = case.operator().run("undrain", "orders", "o-1")
    equal((code, out["outcome"]), (OK, "accepted"), "undrain, lost answer")
    case.standin.set_faults(conflict_next_writes=2)
    code, out = case.operator().run("drain", "orders", "o-2")
    equal((code, out["outcome"]), (OK, "accepted"), "drain in a race")
    equal(member_status(case, "o-1")["state"], "serving", "undrained")
    code, _ = case.operator().run("drain", "orders", "o-9")
    equal(code, NOT_FOUND, "no such instance")
    code, _ = case.operator().run("drain", "nobody", "o-1")
    equal(code, NOT_FOUND, "no such service")


def flows_are_explained(case):
    case.standin.put("roster/orders", 0, roster(["serving", "draining"]))
    apply_rules(case, rule_line(1))
    code, out = case.operator().run("explain", "10.1.0.1:999", "10.9.0.1:5683")
    equal((code, out["service"]), (OK, "orders"), "explained")
    equal(out["home"]["instance"], "o-0", "home")
    equal(out["deputy"], None, "deputy")
    code, _ = case.operator().run("explain", "10.1.0.1:999", "10.9.0.9:5683")
    equal(code, NOT_FOUND, "no rule")


CASES = [check_finds_faults, command_line_is_checked,
         rules_are_applied_and_kept, loser_sees_the_winner,
         lost_answers_are_settled, stale_read_is_not_believed,
         outage_changes_nothing,
         instances_are_drained, flows_are_explained]


def run_case(function, options):
    """Runs a case with its own platform stand-in. Returns whether it passed."""
    with tempfile.TemporaryDirectory() as folder, \
            PlatformStandin(options.bin, options.seed) as standin:
        try:
            summary = function(Case(options.bin, folder, standin))
            print(f"ok   {function.__name__} {summary or ''}".rstrip())
            return True
        except Exception as e:  # the other cases must run all the same
            print(f"FAIL {function.__name__}: {e!r}")
            return False


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=12)
    options = parser.parse_args()

    def race_keeps_each_version(case):
        return race.run(case, options.workers, options.rounds, options.seed)

    results = [run_case(c, options) for c in CASES + [race_keeps_each_version]]
    failed = results.count(False)
    print(f"operators: {len(results) - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
