"""A stand-in for the platform's store, in its published format.

Keeps objects in memory. The soak puts a proxy with faults before it; faults
that need the store's own knowledge, such as a lost history, are made here.
"""

import asyncio
import json
import urllib.parse

from messages import read_request, response

PREFIX = "/pomelohall/objects/"


class Store:
    """Objects by kind and name, with one counter of revisions."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.first_watched = 0
        self.changed = asyncio.Event()
        self.server = None

    async def listen(self, port):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port)

    def put(self, kind, name, spec):
        """Writes as an operator; returns the revision."""
        self.revision += 1
        stored = {"metadata": {"name": name, "revision": self.revision},
                  "spec": spec}
        self.objects.setdefault(kind, {})[name] = stored
        self.history.append((self.revision, kind, stored))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def forget_history(self):
        """Watches from before now get a 410."""
        self.history.clear()
        self.first_watched = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, body = await self.answer(request)
                writer.write(response(status, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # The proxy broke the connection, as the schedule asked.
        except asyncio.CancelledError:
            pass  # The soak ends.
        finally:
            writer.close()

    async def answer(self, request):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if not url.path.startswith(PREFIX):
            return 404, {}
        kind, _, name = url.path[len(PREFIX):].partition("/")
        name = urllib.parse.unquote(name)
        if request.method == "GET":
            if name:
                found = self.objects.get(kind, {}).get(name)
                return (200, found) if found else (404, {})
            if "watch" in query:
                return await self.watch(kind, int(query["watch"]),
                                        int(query.get("waitMs", 0)) / 1000)
            items = list(self.objects.get(kind, {}).values())
            return 200, {"items": items, "hasMore": False,
                         "asOf": self.revision}
        return self.write(kind, name, request)

    async def watch(self, kind, after, wait):
        end = asyncio.get_running_loop().time() + wait
        while True:
            if after < self.first_watched:
                return 410, {}
            events = [{"object": stored, "deleted": False}
                      for revision, of_kind, stored in self.history
                      if of_kind == kind and revision > after]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def write(self, kind, name, request):
        document = json.loads(request.body)
        metadata = document["metadata"]
        found = self.objects.get(kind, {}).get(name or metadata["name"])
        if request.method == "POST":
            if found:
                return 409, found
        elif request.method != "PUT":
            return 405, {}
        elif not found:
            return 404, {}
        elif metadata.get("revision", 0) != found["metadata"]["revision"]:
            return 409, found
        self.put(kind, metadata["name"], document["spec"])
        return 200, self.objects[kind][metadata["name"]]
