"""An unreadable liveness report changes the caller service of a machine."""
import asyncio, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import fleet as f

ROUTES = [("r-safe", "/stock/", "safe", "catalogo"),
          ("r-order", "/order/", "unsafe", "pedidos")]


async def case(fleet, trouble):
    await fleet.start(ROUTES)
    machine = fleet.machines[0]
    writer_born = int(time.time() * 1000)
    if trouble:
        # Of another writer. Its service is in no configuration and on no page.
        await fleet.call_control(machine, "PUT", "i-other", {
            "service": "unnamed", "address": f"{machine.ip}:{machine.ports['app']}",
            "zone": machine.zone, "version": "v1", "slots": 18,
            "state": "ready", "coldLeftMs": 0, "seq": 1, "born": writer_born},
            note=True)
    await asyncio.sleep(0.2)
    for number in range(20):
        await fleet.request(machine, "GET", f"/stock/{number}")
        await fleet.request(machine, "POST", f"/order/{number}", body=b"x")
        await asyncio.sleep(0.1)
    wrong = [run for run in fleet.runs
             if run.caller_service != machine.service]
    fleet.record.write(f"{len(fleet.runs)} requests of {machine.name} ran, "
                       f"{len(wrong)} with a caller service that is not "
                       f"{machine.service}")
    return not wrong


f.main(__file__, ["catalogo", "pedidos", "catalogo", "pedidos"], case)
