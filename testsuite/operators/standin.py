"""Runs the platform stand-in and galenactl for the cases of the operators'
commands."""

import json
import subprocess
import urllib.request


class PlatformStandin:
    """A platform stand-in on a free loopback port, which runs as long as the
    `with` block."""

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
        """Makes an HTTP call and returns the parsed response."""
        body = None if value is None else json.dumps(value).encode()
        request = urllib.request.Request(
            f"http://{self.address}/v1/{path}", body, headers or {},
            method=method)
        with urllib.request.urlopen(request, timeout=10) as response:
            return json.loads(response.read())

    def set_faults(self, **faults):
        self.call("POST", "standin/faults", faults)

    def put(self, name, version, value):
        return self.call("PUT", f"objects/{name}", value,
                         {"If-Match": str(version)})


class Operator:
    """An operator, who runs galenactl under an author's name."""

    def __init__(self, bin_dir, config, author):
        self._command = [f"{bin_dir}/galenactl", "--config", config,
                         "--author", author, "--json"]

    def start(self, *arguments):
        return subprocess.Popen(self._command + list(arguments), text=True,
                                stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE)

    def run(self, *arguments):
        """Runs galenactl and returns its exit code and parsed output."""
        return finish(self.start(*arguments))


def finish(process):
    """Waits until galenactl has ended. Returns its exit code and its parsed
    output, which is None if it printed nothing, as when it was killed."""
    out, _ = process.communicate(timeout=60)
    return process.returncode, json.loads(out) if out else None
