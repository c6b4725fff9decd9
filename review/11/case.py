"""A client sends a long header field, within the operator's limit."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import fleet as f  # noqa: E402

DEADLINE_MS = 4000
ORDER_CLIENTS = 10
LIMITS = dict(f.LIMITS, maxHeaderBytes=131072)
LONG_FIELD = 66000      # Bytes of the value of one field.
ORDINARY_FIELD = 60000
LOOKUPS = 3
LOOKUP_PAUSE_S = 5.0
END_S = 16.0


async def serve(backend, request, writer):
    await f.read_body(request.reader, request.fields)
    backend.on_run(request)
    await asyncio.sleep(0.29 if request.method == "POST" else 0.05)
    writer.write(f.encode_response(200, b"x" * 400,
                                   backend.answer_fields(request)))
    await writer.drain()
    return True


async def order_client(fleet, vm, number, ends):
    """Sends orders one after the other on a kept connection.

    Appends to `ends` what became of each that a backend server has run.
    """
    count = 0
    while fleet.record.now() < fleet.began + END_S:
        writer = None
        try:
            reader, writer = await fleet.connect(vm)
            kept = False
            while fleet.record.now() < fleet.began + END_S:
                count += 1
                attempt = f"order-{number}-{count}"
                fleet.record.write(f"sent {attempt} to {vm.name}")
                writer.write(f.request_bytes("POST", "/order/1", attempt,
                                             DEADLINE_MS, b"y" * 1200))
                try:
                    head = await asyncio.wait_for(f.read_head(reader), 5)
                    if head is None:
                        raise ConnectionError("closed")
                    await f.read_body(reader, head.fields)
                except (OSError, asyncio.IncompleteReadError) as cut:
                    runs = sum(other.backend.runs.get(attempt, 0)
                               for other in fleet.vms)
                    fleet.record.write(f"cut {attempt}, run {runs} times, "
                                       f"kept connection {kept}: {cut!r}")
                    if runs and kept:
                        ends.append("cut")
                    raise
                kept = True
                ends.append(head.status)
                fleet.record.write(f"answered {attempt} {head.status}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)  # The daemon is down.
        finally:
            if writer:
                writer.close()


async def lookup(fleet, vm, attempt, field_bytes):
    reader, writer = await fleet.connect(vm)
    try:
        data = f.request_bytes("GET", "/lookup/1", attempt, DEADLINE_MS,
                               fields={"Cookie": "c" * field_bytes})
        fleet.record.write(f"sent {attempt}, header of {len(data)} bytes, "
                           f"one field of {field_bytes}")
        writer.write(data)
        head = await asyncio.wait_for(f.read_head(reader), 5)
        fleet.record.write(f"answered {attempt} {head and head.status}")
    except (OSError, asyncio.TimeoutError) as failure:
        fleet.record.write(f"cut {attempt}: {failure!r}")
    finally:
        writer.close()


async def watch_process(fleet, vm, codes):
    """Starts the daemon again if it ends by itself, as the platform does."""
    while True:
        code = vm.process.poll()
        if code is not None:
            fleet.record.write(f"the daemon of {vm.name} has ended by itself "
                               f"with code {code}")
            codes.append(code)
            await asyncio.sleep(0.3)
            vm.start_daemon()
        await asyncio.sleep(0.02)


async def case(fleet, trouble):
    caller = fleet.add("web", serve)
    for _ in range(2):
        fleet.add("orders", serve)
    await fleet.start([f.route("lookup", "safe", "/lookup/", "web", 2000),
                       f.route("order", "unsafe", "/order/", "orders", 2500)],
                      LIMITS)
    fleet.began = fleet.record.now()
    ends = []
    codes = []

    async def lookups():
        for number in range(LOOKUPS):
            await asyncio.sleep(LOOKUP_PAUSE_S / 2)
            await lookup(fleet, caller, f"lookup-{number}",
                         LONG_FIELD if trouble else ORDINARY_FIELD)
            await asyncio.sleep(LOOKUP_PAUSE_S / 2)
    watcher = asyncio.create_task(watch_process(fleet, caller, codes))
    await asyncio.gather(lookups(), *(
        order_client(fleet, caller, i, ends) for i in range(ORDER_CLIENTS)))
    watcher.cancel()
    cuts = ends.count("cut")
    fleet.record.write(
        f"ends of the daemon by itself: {codes}; orders answered: "
        f"{len(ends) - cuts}; orders of kept connections that ran and were "
        f"cut: {cuts}, allowed are 3")
    return not codes and cuts <= 3


f.run_case(HERE, case)
