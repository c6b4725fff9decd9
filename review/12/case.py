"""The operator raises the limit of headers while a client pipelines lookups."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-3"))

import fleet as f  # noqa: E402

DEADLINE_MS = 4000
ORDER_CLIENTS = 10
FIRST_LOOKUPS = 16    # Those that the daemon runs at once on a connection.
LATER_LOOKUPS = 30
LATER_HEADER = 3000   # Bytes of each, far below the limit in force.
RAISED_LIMIT = 131072  # Of maxHeaderBytes; it is 16,384 before.
CHANGE_AT_S = 4.0
APPLY_S = 2.0         # configApplyMs
END_S = 14.0


async def serve(backend, request, writer):
    await f.read_body(request.reader, request.fields)
    backend.on_run(request)
    # The longest lookups take 1.6 s on bodega-hq; orders take 0.29 s.
    await asyncio.sleep(1.5 if "slow" in request.target else
                        0.29 if request.method == "POST" else 0.05)
    writer.write(f.encode_response(200, b"x" * 400,
                                   backend.answer_fields(request)))
    await writer.drain()
    return True


class Cuts:
    """Requests whose connection ended without a complete answer."""

    def __init__(self):
        self.times = []
        self.answered = 0


async def order_client(fleet, vm, number, cuts):
    """Sends orders one after the other on a kept connection."""
    count = 0
    while fleet.record.now() < fleet.began + END_S:
        writer = None
        try:
            reader, writer = await fleet.connect(vm)
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
                    fleet.record.write(f"cut {attempt}, run {runs} times: "
                                       f"{cut!r}")
                    if runs:
                        cuts.times.append(fleet.record.now())
                    raise
                cuts.answered += 1
                fleet.record.write(f"answered {attempt} {head.status}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.2)  # The daemon is down.
        finally:
            if writer:
                writer.close()


async def pipelining_client(fleet, vm, changed, number):
    reader, writer = await fleet.connect(vm)
    sent = 0
    answered = 0
    try:
        for _ in range(FIRST_LOOKUPS):
            sent += 1
            writer.write(f.request_bytes("GET", "/lookup/slow",
                                         f"lookup-{number}-{sent}",
                                         DEADLINE_MS))
        fleet.record.write(f"sent {sent} lookups on one connection")
        await asyncio.sleep(0.1)
        await changed()
        # By now the daemon knows the change.
        await asyncio.sleep(1.1)
        for _ in range(LATER_LOOKUPS):
            sent += 1
            writer.write(f.request_bytes(
                "GET", "/lookup/1", f"lookup-{number}-{sent}", DEADLINE_MS,
                fields={"Cookie": "c" * (LATER_HEADER - 150)}))
        fleet.record.write(f"sent {LATER_LOOKUPS} further lookups on it")
        while answered < sent:
            head = await asyncio.wait_for(f.read_head(reader), 5)
            if head is None:
                break
            await f.read_body(reader, head.fields)
            answered += 1
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        writer.close()
    fleet.record.write(f"{answered} of {sent} lookups were answered")


async def watch_process(fleet, vm, ends):
    """Starts the daemon again if it ends by itself, as the platform does."""
    while True:
        code = vm.process.poll()
        if code is not None:
            fleet.record.write(f"the daemon of {vm.name} has ended by itself "
                               f"with code {code}")
            ends.append(code)
            await asyncio.sleep(0.3)
            vm.start_daemon()
        await asyncio.sleep(0.02)


async def case(fleet, trouble):
    caller = fleet.add("web", serve)
    for _ in range(2):
        fleet.add("orders", serve)
    routes = [f.route("lookup", "safe", "/lookup/", "orders", 2000),
              f.route("order", "unsafe", "/order/", "orders", 2500)]
    await fleet.start(routes)
    fleet.began = fleet.record.now()
    cuts = Cuts()
    ends = []
    change = {}

    async def changed():
        if trouble:
            change["sent"] = fleet.record.now()
            fleet.configure(routes, dict(f.LIMITS, maxHeaderBytes=RAISED_LIMIT))

    async def pipeline():
        await asyncio.sleep(CHANGE_AT_S)
        await pipelining_client(fleet, caller, changed, 1)
    watcher = asyncio.create_task(watch_process(fleet, caller, ends))
    await asyncio.gather(pipeline(), *(
        order_client(fleet, caller, i, cuts) for i in range(ORDER_CLIENTS)))
    watcher.cancel()
    until = change.get("sent", 0) + APPLY_S + 1
    around = [at for at in cuts.times
              if change and change["sent"] <= at <= until]
    others = len(cuts.times) - len(around)
    window = (APPLY_S + 1) / END_S
    fleet.record.write(
        f"ends of the daemon by itself: {ends}; orders answered: "
        f"{cuts.answered}; orders that ran and were cut: {len(around)} around "
        f"the change, {others} at other times")
    more_often = len(around) / window > 3 * others / (1 - window)
    return not ends and not (around and more_often)


f.run_case(HERE, case)
