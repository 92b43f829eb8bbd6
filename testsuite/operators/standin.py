"""Runs the platform stand-in and galenactl for the operators' cases."""

import json
import subprocess
import urllib.request


class Standin:
    """A platform stand-in on a free port of loopback, ended with the block."""

    def __init__(self, bin_dir, seed):
        self._command = [f"{bin_dir}/platform_standin", "--listen",
                         "127.0.0.1:0", "--seed", str(seed)]

    def __enter__(self):
        self._process = subprocess.Popen(
            self._command, stdout=subprocess.PIPE, text=True)
        line = self._process.stdout.readline()
        self.address = line.strip().split("address=")[1]
        return self

    def __exit__(self, *_):
        self._process.terminate()
        self._process.wait(10)
        self._process.stdout.close()

    def call(self, method, path, value=None, headers=None):
        """One HTTP call; returns the parsed answer."""
        body = None if value is None else json.dumps(value).encode()
        request = urllib.request.Request(
            f"http://{self.address}/v1/{path}", body, headers or {},
            method=method)
        with urllib.request.urlopen(request, timeout=10) as answer:
            return json.loads(answer.read())

    def set_faults(self, **plan):
        self.call("POST", "standin/faults", plan)

    def put(self, name, version, value):
        return self.call("PUT", f"objects/{name}", value,
                         {"If-Match": str(version)})


class Operator:
    """Calls galenactl as one author."""

    def __init__(self, bin_dir, config, author):
        self._command = [f"{bin_dir}/galenactl", "--config", config,
                         "--author", author, "--json"]

    def start(self, *words):
        return subprocess.Popen(self._command + list(words), text=True,
                                stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE)

    def run(self, *words):
        """Exit code and parsed output."""
        return finish(self.start(*words))


def finish(process):
    """Waits for galenactl; exit code and parsed output (None if killed)."""
    out, _ = process.communicate(timeout=60)
    return process.returncode, json.loads(out) if out else None
