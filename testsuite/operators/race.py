"""Race of several operators who apply rules at the same time, while answers
are lost, the platform fails and galenactl is killed. Each operator adds a line
of its own to the version that it has read (--base). Every version must
therefore be the previous one plus one line."""

import random
import threading
import time

from standin import finish

KILL_PROBABILITY = 0.2
FAULTS = {"conflict_next_writes": 2, "lose_answer_next_writes": 3,
          "fail_rate": 0.05, "stale_read": 0.05, "delay_ms": 5}


class Attempt:
    """One `rules apply` and the outcome that galenactl reported."""

    def __init__(self, author, text):
        self.author = author
        self.text = text
        self.outcome = "killed"
        self.version = None


class Worker(threading.Thread):
    def __init__(self, case, number, rounds, seed):
        super().__init__()
        self.case = case
        self.number = number
        self.rounds = rounds
        self.random = random.Random(f"{seed}-{number}")
        self.attempts = []
        self.error = None

    def run(self):
        try:
            for round_number in range(self.rounds):
                self.apply_once(round_number)
        except Exception as e:  # the main thread reports the error
            self.error = e

    def apply_once(self, round_number):
        author = f"operator-{self.number}"
        operator = self.case.operator(author)
        code, shown = operator.run("rules", "show")
        if code != 0:
            return
        line = (f"udp 10.{self.number}.{round_number}.1:5683 -> orders"
                f"   # {author}\n")
        attempt = Attempt(author, shown["text"] + line)
        path = self.case.write(f"{author}.rules", attempt.text)
        self.attempts.append(attempt)
        process = operator.start("rules", "apply", path, "--new-services",
                                 "--base", str(shown["version"]))
        if self.random.random() < KILL_PROBABILITY:
            time.sleep(self.random.uniform(0, 0.015))
            process.kill()
        _, out = finish(process)
        if out:
            attempt.outcome = out.get("outcome", "error")
            attempt.version = out.get("version")


def inject_faults(standin, stop, seed):
    """Sets the faults anew every 0.1 s until `stop` is set; each time there is
    an outage of the platform with a probability of 10 %."""
    rng = random.Random(seed)
    while not stop.wait(0.1):
        is_outage = rng.random() < 0.1
        standin.set_faults(outage=is_outage, **FAULTS)


def read_versions(case):
    """Returns the entries of the history, oldest first, and their texts."""
    operator = case.operator()
    _, out = operator.run("rules", "history")
    texts = [operator.run("rules", "show", "--at", str(e["version"]))[1]["text"]
             for e in out["history"]]
    return out["history"], texts


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def check_history(entries, texts, attempts):
    check([e["version"] for e in entries] == list(range(1, len(entries) + 1)),
          "versions have gaps")
    written = {a.text: a for a in attempts}
    check(len(written) == len(attempts), "two attempts wrote the same text")
    for i in range(1, len(texts)):
        check(texts[i].startswith(texts[i - 1]) and
              texts[i].count("\n") == texts[i - 1].count("\n") + 1,
              f"version {i + 1} is not version {i} plus one line")
        check(texts[i] in written, f"no operator applied version {i + 1}")
        attempt = written[texts[i]]
        check(attempt.author == entries[i]["author"], "wrong author")
        check(attempt.outcome in ("accepted", "killed", "unknown"),
              f"version {i + 1} took effect but was {attempt.outcome}")
        check(attempt.version in (None, i + 1), "wrong version reported")


def check_accepted(texts, attempts):
    for a in attempts:
        if a.outcome == "accepted":
            check(a.version <= len(texts) and texts[a.version - 1] == a.text,
                  f"accepted version {a.version} of {a.author} is lost")


def run(case, workers, rounds, seed):
    """Runs the race and checks the history. Returns a summary of the
    outcomes."""
    first = case.write("first.rules", "# first\n")
    code, _ = case.operator().run("rules", "apply", first, "--new-services")
    check(code == 0, "first rules")
    threads = [Worker(case, n, rounds, seed) for n in range(workers)]
    stop = threading.Event()
    fault_injector = threading.Thread(
        target=inject_faults, args=(case.standin, stop, seed))
    for t in threads + [fault_injector]:
        t.start()
    for t in threads:
        t.join()
    stop.set()
    fault_injector.join()
    case.standin.set_faults()
    for t in threads:
        check(t.error is None, f"worker failed: {t.error!r}")
    attempts = [a for t in threads for a in t.attempts]
    entries, texts = read_versions(case)
    check_history(entries, texts, attempts)
    check_accepted(texts, attempts)
    counts = {}
    for a in attempts:
        counts[a.outcome] = counts.get(a.outcome, 0) + 1
    check(counts.get("accepted", 0) > 0, "nothing was accepted")
    check(counts.get("not_accepted", 0) > 0, "no operator lost a race")
    summary = " ".join(f"{k}={v}" for k, v in sorted(counts.items()))
    return f"versions={len(texts)} {summary}"
