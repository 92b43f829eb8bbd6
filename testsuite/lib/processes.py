"""Starts, awaits and stops the processes of a test run, and checks them over
HTTP. Only processes that the run started are signalled."""

import fcntl
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

LOOPBACK = "127.0.0.1"
STOP_TIMEOUT_SECONDS = 5
POLL_INTERVAL_SECONDS = 0.05
HTTP_TIMEOUT_SECONDS = 3
FIRST_PORT = 12000
BLOCK_PORTS = 100
PORT_BLOCKS = 200


class StepFailed(Exception):
    """Raised when a step of the run fails; the text names the step."""


class PortAllocator:
    """Allocates loopback ports that are free for UDP and TCP, each one once.

    The programs of a case bind their ports later. So that no other case gets
    them meanwhile, an allocator locks blocks of ports until its process ends.
    All blocks are below the range that the kernel takes ports of outgoing
    connections from.
    """

    def __init__(self):
        self._locks = []
        self._ports = []

    def allocate(self):
        """Returns the `IP:PORT` of a port that is free now."""
        while True:
            if not self._ports:
                self._ports = self._lock_block()
            port = self._ports.pop()
            if self._is_free(port, socket.SOCK_DGRAM) and \
                    self._is_free(port, socket.SOCK_STREAM):
                return f"{LOOPBACK}:{port}"

    def _lock_block(self):
        """Returns the ports of a block that no other allocator has."""
        folder = pathlib.Path(tempfile.gettempdir()) / "galenafork-ports"
        folder.mkdir(exist_ok=True)
        for block in random.sample(range(PORT_BLOCKS), PORT_BLOCKS):
            lock = open(folder / str(block), "w")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                lock.close()
                continue
            self._locks.append(lock)
            first = FIRST_PORT + block * BLOCK_PORTS
            return list(range(first, first + BLOCK_PORTS))
        raise StepFailed("all blocks of ports are in use")

    @staticmethod
    def _is_free(port, kind):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
                return True
            except OSError:
                return False


class Process:
    """A started program whose output and log are written to files."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.output = pathlib.Path(folder) / f"{name}.out"
        with open(self.log, "ab") as log, open(self.output, "ab") as output:
            self._popen = subprocess.Popen(
                [str(a) for a in arguments], stdin=subprocess.DEVNULL,
                stdout=output, stderr=log)

    def pid(self):
        """Returns the process id."""
        return self._popen.pid

    def running(self):
        """Returns whether the process is still running."""
        return self._popen.poll() is None

    def status(self):
        """Returns the exit status, or None while the process runs."""
        return self._popen.poll()

    def signal(self, number):
        """Sends a signal to the process if it is still running."""
        if self.running():
            self._popen.send_signal(number)

    def wait(self, seconds):
        """Waits for the process to end. Returns its exit status, or None if
        it still runs after `seconds`."""
        try:
            return self._popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        """Kills the process and waits until it has ended."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def text(self):
        """Returns what the process has written to its standard output."""
        return self.output.read_text(errors="replace")

    def log_tail(self):
        """Returns the last lines of standard output and of the log."""
        return tail(self.output) + "\n" + tail(self.log)


class Processes:
    """The processes of a run. As a context manager it stops at the end the
    processes that still run."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self._all = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def start(self, name, arguments):
        """Starts a program, with its log in `NAME.log` and its standard output
        in `NAME.out` of the folder."""
        process = Process(name, arguments, self.folder)
        self._all.append(process)
        return process

    def stop_all(self):
        """Sends SIGTERM to all processes, the last started one first, and
        kills those that still run after STOP_TIMEOUT_SECONDS."""
        for process in reversed(self._all):
            process.signal(signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self._all:
            if process.wait(max(0.0, end - time.monotonic())) is None:
                process.kill()


def wait_until(condition, seconds, what):
    """Waits until `condition()` is true. Raises StepFailed with `what` if it is
    still false after `seconds`."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= end:
            raise StepFailed(f"timed out after {seconds} s: {what}")
        time.sleep(POLL_INTERVAL_SECONDS)


def http_ok(address, path):
    """Returns whether a GET of the path has the status 200."""
    try:
        url = f"http://{address}{path}"
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def get_text(address, path):
    """Returns the response to a GET of the path as text. Raises OSError if the
    request fails."""
    with urllib.request.urlopen(f"http://{address}{path}",
                                timeout=HTTP_TIMEOUT_SECONDS) as response:
        return response.read().decode()


def get_json(address, path):
    """Returns the parsed JSON response to a GET of the path."""
    return json.loads(get_text(address, path))


def post_json(address, path, value):
    """Posts a JSON value. Raises StepFailed if the response has an error
    status."""
    request = urllib.request.Request(
        f"http://{address}{path}", json.dumps(value).encode(), method="POST")
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_SECONDS):
            pass
    except urllib.error.HTTPError as error:
        raise StepFailed(f"{path}: {error}") from error


def wait_ready(process, address, seconds):
    """Waits until the daemon's /readyz returns 200. Raises StepFailed if the
    daemon ends or is not ready after `seconds`."""
    def ready():
        if not process.running():
            raise StepFailed(f"{process.name} ended with {process.status()}: "
                         f"{process.log_tail()}")
        return http_ok(address, "/readyz")
    wait_until(ready, seconds, f"{process.name} ready")


def tail(path, lines=5):
    """Returns the last lines of a file."""
    text = pathlib.Path(path).read_text(errors="replace")
    return "\n".join(text.splitlines()[-lines:])


def replace_file(path, text):
    """Replaces a file atomically, so that no reader sees a partial file."""
    temporary = f"{path}.new"
    pathlib.Path(temporary).write_text(text)
    os.replace(temporary, path)
