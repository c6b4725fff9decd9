"""A request that crashes its backends reaches them again and again."""
import asyncio, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib"))
import fleet as f

ROUTES = [("r-safe", "/stock/", "safe", "catalogo")]
POISON = "/stock/poison"
DOWN_S = 3.0  # "The backend is back after some seconds."


async def case(fleet, trouble):
    await fleet.start(ROUTES)
    crashed_at = []

    def crashes(request):
        if not trouble or request.target != POISON:
            return False
        crashed_at.append(time.monotonic())
        return True

    async def restart(backend):
        while True:
            await asyncio.sleep(0.1)
            if backend.server is None:
                await asyncio.sleep(DOWN_S)
                await backend.start()

    for machine in fleet.machines:
        machine.backend.crashes = crashes
        asyncio.create_task(restart(machine.backend))
    # The same path, caller service and body, at any machine.
    clients = [m for m in fleet.machines if m.service == "pedidos"]
    sent = []
    lost = 0
    for number in range(24):
        machine = clients[number % len(clients)]
        others = [asyncio.create_task(fleet.request(m, "GET", f"/stock/{number}"))
                  for m in clients]
        await asyncio.sleep(0.01)
        before = time.monotonic()
        attempt, _ = await fleet.request(machine, "GET", POISON)
        sent.append((before, attempt))
        for other in others:
            _, answer = await other
            lost += answer is None or answer.status != 200
        await asyncio.sleep(1.5)
    third = crashed_at[2] + f.CONTACT_S if len(crashed_at) > 2 else None
    reached = {run.attempt for run in fleet.runs if run.target == POISON}
    late = [attempt for at, attempt in sent
            if third and at > third and attempt in reached]
    fleet.record.write(
        f"{len(crashed_at)} crashes; {len(late)} attempts that were sent later "
        f"than contactMs after the third crash reached backends; {lost} other "
        f"requests were not served")
    return len(late) <= 3


f.main(__file__, ["catalogo", "catalogo", "catalogo", "catalogo", "pedidos",
                  "pedidos"], case)
