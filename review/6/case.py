"""A backend starts again under its id, and leaves before its first report."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from standins import (Machine, Store, call, config, route, run_case,  # noqa
                      wait_until)

OTHERS = 7           # One of eight servers crashes (0.125); srv_crash: share 0.14
DRAIN_S = 2.0        # `drainMs` of the sheet
DOWN_S = 1.0         # From the crash to the next lifetime.
LIFE_S = 1.0         # From the next lifetime to its planned end.
REPORT_LATE_S = 2.0  # "may arrive seconds late"
SERVES_AFTER_S = 6.0  # drainMs and "a little longer (at times many seconds)"


async def main(record, work, trouble, machines):
    store = Store()
    entry = Machine("m-entry", "front", "z", work)
    leaving = Machine("m-leaving", "orders", "z", work)
    machines += [entry, leaving]
    machines += [Machine(f"m-other-{number}", "orders", "z", work)
                 for number in range(OTHERS)]
    for machine in machines:
        await store.listen(machine.store_port)
    store.put("config", "main", config(
        7, [route("orders", "/orders/", "unsafe", "orders")],
        ["front", "orders"]))
    acked_at = None
    late = []  # Requests that ran later than drainMs after the ack.
    runs = {}

    def on_run(backend, message):
        attempt = message.fields["pomelohall-attempt-id"]
        runs[attempt] = runs.get(attempt, 0) + 1
        at = record.now()
        record.write(f"run {attempt} at {backend.machine.name}")
        if (backend is leaving.backend and acked_at is not None and
                at > acked_at + DRAIN_S):
            late.append((attempt, at - acked_at))

    for machine in machines:
        machine.backend.on_run = on_run
        machine.backend.work_s = 0.3
        machine.start()
        await machine.backend.start()

    async def all_ready():
        return all([await machine.ready() for machine in machines])
    if not await wait_until(all_ready, 10):
        record.write("the daemons aren't ready")
        return 2
    await asyncio.sleep(4)  # contactMs and a report of each backend

    stop = asyncio.Event()
    answers = {}

    async def one(attempt):
        status, _ = await call(entry.outbound_port, "POST",
                               f"/orders/{attempt}", attempt, 3.0, body=b"x")
        answers[attempt] = status
        record.write(f"answer {attempt} {status}")

    async def traffic():
        tasks = []
        number = 0
        while not stop.is_set():
            number += 1
            tasks.append(asyncio.create_task(one(f"a{number}")))
            await asyncio.sleep(0.04)
        await asyncio.gather(*tasks)

    clients = asyncio.create_task(traffic())
    await asyncio.sleep(4)
    backend = leaving.backend
    backend.stop_heartbeat()
    if trouble:
        record.write("the backend of m-leaving crashes")
        await backend.end()
        await asyncio.sleep(DOWN_S)
        await backend.start(heartbeat=False)
        record.write(f"it starts again as {backend.instance}, "
                     f"born {backend.born}")
    # Sent now, and on its way for REPORT_LATE_S.
    late_report = backend.report()
    record.write(f"report sent: state {late_report['state']} seq "
                 f"{late_report['seq']} born {late_report['born']}")

    async def deliver():
        await asyncio.sleep(LIFE_S + REPORT_LATE_S)
        status = await backend.send("PUT", late_report)
        record.write(f"the report arrives; status {status}")
    delivery = asyncio.create_task(deliver())
    await asyncio.sleep(LIFE_S)
    # Planned end: DELETE first.
    for _ in range(8):
        status = await backend.send("DELETE", None)
        record.write(f"DELETE {backend.instance}: {status}")
        if 200 <= status < 300:
            acked_at = record.now()
            break
        await asyncio.sleep(0.5)
    if acked_at is None:
        record.write("no ack")
        stop.set()
        await clients
        return 2
    await delivery
    await asyncio.sleep(max(0, acked_at + SERVES_AFTER_S - record.now()))
    record.write("the backend of m-leaving exits")
    await backend.end()
    await asyncio.sleep(2)
    stop.set()
    await clients
    lost = [attempt for attempt, status in answers.items()
            if status in (0, -1, 502, 504) and runs.get(attempt)]
    record.write(f"requests {len(answers)}, ran later than drainMs after the "
                 f"ack: {len(late)}, last {max([s for _, s in late], default=0):.2f} s "
                 f"after it; ran and have no answer of a backend: {len(lost)}")
    twice = [attempt for attempt, count in runs.items() if count > 1]
    record.write(f"ran twice: {len(twice)}")
    if not any(machine.alive() for machine in machines):
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
