"""A stub of the platform's store that speaks its published format.

Keeps objects in memory. Connection faults are injected by the proxies in front
of the store. Faults of the store's own state, such as a lost history, are
injected here.
"""

import asyncio
import itertools
import json
import urllib.parse

from messages import read_message, encode_response

PREFIX = "/pomelohall/objects/"


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.first_watchable_revision = 0
        self.changed = asyncio.Event()
        self.server = None

    async def listen(self, port):
        self.server = await asyncio.start_server(
            self.handle_connection, "127.0.0.1", port)

    def put(self, kind, name, spec):
        """Writes an object unconditionally; returns its revision."""
        self.revision += 1
        stored = {"metadata": {"name": name, "revision": self.revision},
                  "spec": spec}
        self.objects.setdefault(kind, {})[name] = stored
        self.history.append((self.revision, kind, stored))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def clear_history(self):
        """Drops past changes: watches from earlier revisions get a 410."""
        self.history.clear()
        self.first_watchable_revision = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle_connection(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status, body = await self.handle_request(request)
                writer.write(
                    encode_response(status, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The proxy closed the connection as an injected fault.
        except asyncio.CancelledError:
            pass  # The run ends.
        finally:
            writer.close()

    async def handle_request(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(PREFIX):
            return 404, {}
        kind, _, name = url.path[len(PREFIX):].partition("/")
        name = urllib.parse.unquote(name)
        if request.method == "GET":
            if name:
                existing = self.objects.get(kind, {}).get(name)
                return (200, existing) if existing else (404, {})
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]),
                                        int(query.get("waitMs", 0)) / 1000)
            items = list(self.objects.get(kind, {}).values())
            return 200, {"items": items, "hasMore": False,
                         "asOf": self.revision}
        return self.write(kind, name, request)

    async def watch(self, kind, after_revision, wait_s):
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if after_revision < self.first_watchable_revision:
                return 410, {}
            # From the newest one, as all daemons watch and most changes are
            # old.
            events = [{"object": stored, "deleted": False}
                      for _, changed_kind, stored in itertools.takewhile(
                          lambda change: change[0] > after_revision,
                          reversed(self.history))
                      if changed_kind == kind][::-1]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    def write(self, kind, name, request):
        document = json.loads(request.body)
        metadata = document["metadata"]
        existing = self.objects.get(kind, {}).get(name or metadata["name"])
        if request.method == "POST":
            if existing:
                return 409, existing
        elif request.method != "PUT":
            return 405, {}
        elif not existing:
            return 404, {}
        elif metadata.get("revision", 0) != existing["metadata"]["revision"]:
            return 409, existing
        self.put(kind, metadata["name"], document["spec"])
        return 200, self.objects[kind][metadata["name"]]
