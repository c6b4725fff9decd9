#!/usr/bin/env python3
"""Tests that bytes without end don't fill the memory of a daemon.

A peer sends them to each listener of a daemon, or the store or a backend server
answers with them.
Usage: endless_bytes_test.py BIN_DIR [NAME...]
"""

import asyncio
import itertools
import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "soak"))
from fleet_control import send_http, wait_until  # noqa: E402
from store import Store  # noqa: E402
from test_runner import main  # noqa: E402

# Memory of the smallest VM in the users' deployments.
MEMORY_MB = 160
# Time for which bytes are sent, and their sum at most.
ATTACK_S = 2.5
ATTACK_BYTES = 600 * 2**20
BLOCK = b"a" * 2**16
CHUNK = b"10000\r\n" + b"a" * 2**16 + b"\r\n"
FIELD = b"X-Field: " + b"a" * 1000 + b"\r\n"

# Start of a message and what is repeated after it.
REQUESTS = {
    "request line": (b"GET /", BLOCK),
    "head": (b"GET / HTTP/1.1\r\nHost: a\r\n", FIELD),
    "body": (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999"
             b"\r\n\r\n", BLOCK),
    "chunks": (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
               b"\r\n\r\n", CHUNK),
    "chunk extension": (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                        b"chunked\r\n\r\n5;", BLOCK),
    "trailer": (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
                b"\r\n\r\n0\r\n", FIELD),
}
# Answers of a backend server echo the attempt and have a signature.
JSON_HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             b"Pomelohall-Attempt-Id: a1\r\n"
             b"Pomelohall-Response-Signature: s\r\n")
RESPONSES = {
    "no response": (b"", BLOCK),
    "head": (b"HTTP/1.1 200 OK\r\n", FIELD),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n" + FIELD + b"\r\n"),
    "body with length": (JSON_HEAD + b"Content-Length: 99999999999\r\n\r\n",
                         BLOCK),
    "body until close": (JSON_HEAD + b"\r\n{\"items\":[\"", BLOCK),
    "chunks": (JSON_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "chunk extension": (JSON_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;",
                        BLOCK),
    "trailer": (JSON_HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", FIELD),
}


def send_endless(connection, start, repeated):
    """Sends until the other side closes, or for ATTACK_S."""
    connection.settimeout(ATTACK_S)
    repeated *= max(1, 2**18 // len(repeated))
    end = time.monotonic() + ATTACK_S
    sent = 0
    try:
        connection.sendall(start)
        while time.monotonic() < end and sent < ATTACK_BYTES:
            connection.sendall(repeated)
            sent += len(repeated)
    except OSError:
        pass  # Closed, or not read any more.
    finally:
        connection.close()


class EndlessServer:
    """Answers each request with bytes without end, or with endless pages."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.response = None  # Start and repeated bytes; None for pages.
        self.pages = itertools.count(10**8)
        self.requests = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,),
                             daemon=True).start()

    def serve(self, connection):
        connection.settimeout(ATTACK_S)
        received = b""
        try:
            while data := connection.recv(65536):
                received += data
                if not received.endswith(b"\r\n\r\n"):
                    continue
                self.requests += 1
                received = b""
                if self.response:
                    send_endless(connection, *self.response)
                    return
                connection.sendall(self.page())
        except OSError:
            pass
        finally:
            connection.close()

    def page(self):
        """Returns a page of a listing in the formats of both daemons."""
        items = b",".join(
            b'{"metadata":{"name":"n%d","revision":5,"resourceVersion":"5"},'
            b'"spec":{"a":"%s"}}' % (next(self.pages), b"a" * 2000)
            for _ in range(400))
        body = (b'{"items":[' + items + b'],"hasMore":true,"asOf":9,'
                b'"metadata":{"continue":"more"}}')
        return (JSON_HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def check_memory(program, attack):
    assert program.running(), f"{program.name} ended: {attack}"
    with open(f"/proc/{program.process.pid}/status", encoding="ascii") as file:
        peak_mb = next(int(line.split()[1]) / 1024 for line in file
                       if line.startswith("VmHWM"))
    print(f"{program.name}, {attack}: {peak_mb:.0f} MB", flush=True)
    assert peak_mb < MEMORY_MB, f"{attack}: {peak_mb:.0f} MB"


def attack_listeners(program, listeners):
    for (listener, address), (form, parts) in itertools.product(
            listeners.items(), REQUESTS.items()):
        host, port = address.split(":")
        send_endless(socket.create_connection((host, int(port))), *parts)
        check_memory(program, f"{form} at {listener}")


def attack_from_store(program, store, forms):
    for form in forms:
        store.response = RESPONSES.get(form)
        before = store.requests
        wait_until(lambda: store.requests > before, f"a store call: {form}")
        time.sleep(ATTACK_S)
        check_memory(program, f"{form} from the store")


def start_pomelohalld(fleet, platform_address):
    listeners = fleet.allocate_listeners("caller", "forward", "peer", "local")
    path = fleet.write_config({
        "cluster": "test", "name": "vm-1", "region": "r1",
        "data_centre": "dc1", "listeners": listeners, "seeds": [],
        "platform": {"address": platform_address}}, "daemon.json")
    program = fleet.start_program("pomelohalld", "pomelohalld", "--settings",
                                  path)
    wait_until(lambda: send_http("GET", listeners["local"], "/metrics"),
               "pomelohalld serves its metrics")
    return program, listeners


def sidecar_listeners_endless_bytes_memory_bounded(fleet):
    """Guards against a peer that fills the memory of a sidecar."""
    program, listeners = fleet.start_sidecar("127.0.0.1:1")
    attack_listeners(program, listeners)


def sidecar_store_endless_bytes_memory_bounded(fleet):
    """Guards against a store that fills the memory of a sidecar."""
    store = EndlessServer()
    program, _ = fleet.start_sidecar(store.address)
    attack_from_store(program, store, [*RESPONSES, "pages"])


def pomelohalld_listeners_endless_bytes_memory_bounded(fleet):
    """Guards against a peer that fills the memory of pomelohalld."""
    program, listeners = start_pomelohalld(fleet, "127.0.0.1:1")
    attack_listeners(program, listeners)


def pomelohalld_platform_endless_bytes_memory_bounded(fleet):
    """Guards against a platform that fills the memory of pomelohalld."""
    store = EndlessServer()
    program, _ = start_pomelohalld(fleet, store.address)
    attack_from_store(program, store, [*RESPONSES, "pages"])


def start_store(fleet):
    """Starts a store with routes to the service "orders"; returns its address.
    """
    port = fleet.port_block.allocate(1)[0]
    store = Store()
    routes = [{"name": kind, "host": "test", "pathPrefix": f"/{kind}/",
               "kind": kind, "timeoutMs": 2000, "latencyTargetMs": 600,
               "priority": 1, "attempts": 1, "service": "orders"}
              for kind in ("safe", "unsafe", "download")]
    store.put("config", "main", json.dumps({
        "version": "r1", "routes": routes, "services": [{"name": "orders"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}).encode())
    loop = asyncio.new_event_loop()
    threading.Thread(target=loop.run_forever, daemon=True).start()
    asyncio.run_coroutine_threadsafe(store.listen(port), loop).result()
    return f"127.0.0.1:{port}"


def sidecar_answer_endless_bytes_memory_bounded(fleet):
    """Guards against a backend server that fills the memory of the sidecar
    beside it, or of the one that the caller asked."""
    server = EndlessServer()
    server.response = RESPONSES["no response"]
    store = start_store(fleet)
    near, near_listeners = fleet.start_sidecar(store, "near", server.address)
    far, far_listeners = fleet.start_sidecar(store, "far")
    sequence = itertools.count(1)

    def send(kind):
        """Announces the server and sends a request that nobody reads."""
        send_http("PUT", near_listeners["local"], "/pomelohall/instances/i-1", {
            "service": "orders", "address": server.address, "zone": "dc1",
            "version": "v1", "slots": 18, "state": "ready", "coldLeftMs": 0,
            "seq": next(sequence), "born": 1000})
        host, port = far_listeners["caller"].split(":")
        caller = socket.create_connection((host, int(port)))
        method = "POST" if kind == "unsafe" else "GET"
        caller.sendall(f"{method} /{kind}/1 HTTP/1.1\r\nHost: test\r\n"
                       "Pomelohall-Attempt-Id: a1\r\n"
                       "Pomelohall-Request-Deadline: 2000\r\n\r\n".encode())
        return caller

    for kind, (form, parts) in itertools.product(
            ("safe", "unsafe", "download"), RESPONSES.items()):
        server.response = parts
        before = server.requests
        callers = []

        def reaches_server():
            callers.append(send(kind))
            time.sleep(0.3)
            return server.requests > before
        wait_until(reaches_server, f"a request at the server: {kind}, {form}")
        time.sleep(ATTACK_S)
        for caller in callers:
            caller.close()
        for program in (near, far):
            check_memory(program, f"{form} for a request of kind {kind}")


TESTS = [
    sidecar_listeners_endless_bytes_memory_bounded,
    sidecar_store_endless_bytes_memory_bounded,
    sidecar_answer_endless_bytes_memory_bounded,
    pomelohalld_listeners_endless_bytes_memory_bounded,
    pomelohalld_platform_endless_bytes_memory_bounded,
]


if __name__ == "__main__":
    main(TESTS)
