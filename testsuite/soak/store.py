"""Stand-in of the users' store. Keeps objects by collection and name with
their revisions, serves watches, and simulates faults."""

import asyncio
import json
import urllib.parse

MAX_HEADER_BYTES = 1 << 20


class Store:
    """The objects, the history of their changes and the active faults."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.history = []
        # Watches from an older revision are refused with status 410.
        self.oldest_revision = 10
        # Requests that arrive while the store is down are never answered.
        self.down = False
        self.delay = 0.0
        # While set, writes take effect, but their connections are closed
        # without an answer.
        self.lose_answers = False
        # While set, watches neither report changes nor end at their timeout.
        self.watches_stalled = False
        self.changed = asyncio.Event()
        self.calls = 0

    def write(self, key, spec):
        """Creates or replaces an object and returns it."""
        self.revision += 1
        created = self.objects.get(key, {}).get("meta", {}).get("created_rev",
                                                               self.revision)
        item = {"meta": {"name": key[1], "revision": self.revision,
                         "created_rev": created, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": None}
        self.objects[key] = item
        self._append_event(key, item, False)
        return item

    def remove(self, key):
        """Removes an object."""
        self.revision += 1
        item = self.objects.pop(key)
        self._append_event(key, item, True)

    def compact(self):
        """Drops the history, which ends the watches that started before the
        current revision."""
        self.history.clear()
        self.oldest_revision = self.revision
        self._notify_watches()

    def _append_event(self, key, item, deleted):
        self.history.append((self.revision, key[0],
                             {"deleted": deleted, "object": item}))
        self._notify_watches()

    def _notify_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(
            query.get("wait_ms", 0)) / 1000
        while True:
            if since < self.oldest_revision:
                return 410, {"error": "history is gone"}
            events = [e for r, k, e in self.history if k == kind and r > since]
            left = end - asyncio.get_running_loop().time()
            if self.watches_stalled:
                left = 0.1
            elif events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def _answer(self, method, path, query, body):
        parts = path.strip("/").split("/")
        if parts[:2] != ["-", "objects"] or len(parts) not in (3, 4):
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) == 4 else None
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name is None:
            items = [o for k, o in sorted(self.objects.items())
                     if k[0] == kind and k[1] > query.get("after", "")]
            return 200, {"items": items, "more": False, "as_of": self.revision}
        key = (kind, name or body.get("meta", {}).get("name"))
        found = self.objects.get(key)
        if method == "GET":
            return (200, found) if found else (404, {})
        if method == "POST":
            return (409, found) if found else (200, self.write(
                key, body["spec"]))
        if found is None:
            return 404, {}
        expected = query.get("revision", body.get("meta", {}).get("revision"))
        if expected is not None and int(expected) != found["meta"]["revision"]:
            return 409, found
        if method == "DELETE":
            self.remove(key)
            return 200, {}
        return 200, self.write(key, body["spec"])

    async def serve(self, reader, writer):
        """Serves one connection until the client closes it."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                size = next((int(line.split(":")[1]) for line in lines
                             if line.lower().startswith("content-length:")), 0)
                body = await reader.readexactly(size)
                self.calls += 1
                if self.down:
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004 + self.delay)
                url = urllib.parse.urlsplit(target)
                status, answer = await self._answer(
                    method, url.path, dict(urllib.parse.parse_qsl(url.query)),
                    json.loads(body) if body else {})
                if self.lose_answers and method != "GET":
                    return
                out = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: "
                             f"application/json\r\nContent-Length: {len(out)}"
                             "\r\n\r\n".encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            # The client closed the connection, or the run is over.
            pass
        finally:
            writer.close()

    async def listen(self, host, port):
        """Starts to accept connections."""
        return await asyncio.start_server(self.serve, host, port,
                                          limit=MAX_HEADER_BYTES)
