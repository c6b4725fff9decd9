"""A restarted daemon forgets that it acknowledged the leaving of its backend."""
import asyncio, os, signal, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import fleet as f

ROUTES = [("r-safe", "/stock/", "safe", "catalogo")]
# "A liveness report may arrive seconds late."
REPORT_DELAY_S = 4.5
# "It continues serving ... (at times many seconds)."
SERVES_ON_S = 14.0


async def send_late(fleet, machine, identity, report):
    await asyncio.sleep(REPORT_DELAY_S)
    await fleet.call_control(machine, "PUT", identity, report, note=True)


async def restart(machine):
    """Stops the daemon as planned work does, and starts it again."""
    await asyncio.sleep(0.2)
    await machine.end_daemon(signal.SIGTERM)
    await asyncio.sleep(0.3)
    machine.start_daemon()


async def case(fleet, trouble):
    await fleet.start(ROUTES)
    machine, other = fleet.machines[0], fleet.machines[2]
    backend = machine.backend
    # The last report before the backend leaves is on its way for seconds.
    backend.beats.cancel()
    late = asyncio.create_task(send_late(fleet, machine, backend.id,
                                         backend.report()))
    await asyncio.sleep(0.3)
    if not await fleet.call_control(machine, "DELETE", backend.id, note=True):
        raise f.CaseError("no ack")
    acked_at = time.monotonic()
    if trouble:
        asyncio.create_task(restart(machine))
    while time.monotonic() < acked_at + SERVES_ON_S:
        await asyncio.gather(*(fleet.request(other, "GET", f"/stock/{n}")
                               for n in range(6)))
        await asyncio.sleep(0.2)
    backend.crash()
    await late
    wrong = [run for run in fleet.runs
             if run.backend == backend.id and run.at > acked_at + f.DRAIN_S and
             other.in_touch(run.at) and machine.in_touch(run.at)]
    fleet.record.write(
        f"{len(wrong)} requests reached {backend.id} later than {f.DRAIN_S} s "
        f"after the ack, taken and sent on by machines in touch")
    return not wrong


f.main(__file__, ["catalogo", "catalogo", "pedidos"], case)
