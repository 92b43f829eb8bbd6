"""A store of objects in memory, with the HTTP interface that the agent uses."""

import http.server
import json
import threading
import urllib.parse

PREFIX = "/-/objects/"


class Store:
    """Serves objects until `close`."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.objects = {}
        self.revision = 0
        self.lock = threading.Lock()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                self._respond(*store.read(self._name()))

            def do_POST(self):
                self._respond(*store.create(self._name(), self._body()))

            def do_DELETE(self):
                self._respond(*store.remove(self._name()))

            def log_message(self, *_):
                pass

            def _name(self):
                return urllib.parse.urlsplit(self.path).path[len(PREFIX):]

            def _body(self):
                size = int(self.headers.get("Content-Length", 0))
                return json.loads(self.rfile.read(size))

            def _respond(self, status, value):
                body = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self._server = http.server.ThreadingHTTPServer((host, int(port)),
                                                       Handler)
        self._server.daemon_threads = True
        threading.Thread(target=self._server.serve_forever,
                         daemon=True).start()

    def close(self):
        """Stops serving."""
        self._server.shutdown()
        self._server.server_close()

    def has(self, name):
        """Returns whether there is an object of this name."""
        with self.lock:
            return name in self.objects

    def read(self, name):
        """Returns the status and the object, or the objects of a
        collection."""
        with self.lock:
            if "/" in name:
                if name not in self.objects:
                    return 404, {}
                return 200, self.objects[name]
            items = [value for key, value in self.objects.items()
                     if key.startswith(name + "/")]
            return 200, {"items": items, "more": False,
                         "as_of": self.revision + 1}

    def create(self, collection, body):
        """Adds an object that must not exist yet."""
        name = f"{collection}/{body['meta']['name']}"
        with self.lock:
            if name in self.objects:
                return 409, self.objects[name]
            self.revision += 1
            body["meta"]["revision"] = self.revision
            self.objects[name] = body
            return 200, body

    def remove(self, name):
        """Removes an object."""
        with self.lock:
            self.objects.pop(name, None)
            return 200, {}
