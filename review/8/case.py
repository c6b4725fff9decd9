"""A request that crashes its backends comes again, each time with retries."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))

from standins import (HOST, Backend, Machine, Store, config, encode,  # noqa
                      read_message, route, run_case, wait_until)

BACKENDS = 4        # As each service of the site has
RETRIES = 2         # "client's retries" of a safe kind of request of the site
DEADLINE_S = 4.0    # Its deadline
BACK_AFTER_S = 3.0  # "the backend is back after some seconds"
COMES_EVERY_S = 7.0
COMES = 5
CONTACT_S = 3.0     # contactMs
MOST_RETRIES = 3    # "in more than three retries"


class CrashingBackend(Backend):
    """Ends when it begins to run a request below /pages/bad/."""

    crashes = True
    lifetime = 0

    async def handle(self, message, writer):
        if "/bad/" in message.target and self.crashes:
            self.on_run(self, message)
            asyncio.get_running_loop().create_task(self.crash())
            return False
        return await super().handle(message, writer)

    async def crash(self):
        self.on_crash(self)
        await self.end()
        await asyncio.sleep(BACK_AFTER_S)
        self.lifetime += 1
        self.instance = f"i-{self.machine.name}-{self.lifetime}"
        await self.start()


async def main(record, work, trouble, machines):
    store = Store()
    machines += [Machine(f"m-entry-{number}", "front", "z", work)
                 for number in range(2)]
    machines += [Machine(f"m-{number}", "pages", "z", work)
                 for number in range(BACKENDS)]
    store.put("config", "main", config(
        7, [route("pages", "/pages/", "safe", "pages")], ["front", "pages"]))
    crashed_at = []
    arrivals = []  # (attempt, time)
    sent_at = {}

    def on_run(backend, message):
        if "/bad/" in message.target:
            attempt = message.fields["pomelohall-attempt-id"]
            arrivals.append((attempt, record.now()))
            record.write(f"run {attempt} at {backend.instance}")

    def on_crash(backend):
        crashed_at.append(record.now())
        record.write(f"{backend.instance} crashes, number {len(crashed_at)}")

    for machine in machines:
        await store.listen(machine.store_port)
        machine.backend = CrashingBackend(machine)
        machine.backend.crashes = trouble
        machine.backend.on_run = on_run
        machine.backend.on_crash = on_crash
        machine.start()
        await machine.backend.start()

    async def all_ready():
        return all([await machine.ready() for machine in machines])
    if not await wait_until(all_ready, 10):
        record.write("the daemons aren't ready")
        return 2
    await asyncio.sleep(4)  # contactMs and a report of each backend

    async def attempt_once(port, target, attempt, left_s):
        """Returns the status, 0 for a closed connection, and Retry-After."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(HOST, port), 1)
            sent_at[attempt] = record.now()
            writer.write(encode(f"GET {target} HTTP/1.1", {
                "Host": "calls.example", "Pomelohall-Attempt-Id": attempt,
                "Pomelohall-Request-Deadline": int(left_s * 1000)}))
            answer = await asyncio.wait_for(read_message(reader), left_s)
            if answer is None:
                return 0, 0.0
            return answer.status, float(answer.fields.get("retry-after", 0))
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return 0, 0.0
        finally:
            if writer:
                writer.close()

    async def request(machine, target, name):
        """A client with its retries, as PROTOCOL.md describes them."""
        end = record.now() + DEADLINE_S
        status = 0
        for number in range(1 + RETRIES):
            left_s = end - record.now()
            if left_s < 0.05:
                break
            attempt = f"{name}-{number}"
            status, wait_s = await attempt_once(machine.outbound_port, target,
                                                attempt, left_s)
            record.write(f"answer {attempt} {status} retry after {wait_s}")
            if 200 <= status < 300 or status in (400, 401, 404, 413, 431):
                break
            await asyncio.sleep(min(wait_s, (end - record.now()) / 3))
        return status

    for number in range(COMES):
        begun = record.now()
        await request(machines[number % 2], "/pages/bad/report", f"bad{number}")
        await asyncio.sleep(begun + COMES_EVERY_S - record.now())
    # The daemons still serve other requests.
    statuses = [await request(machines[0], f"/pages/good/{number}",
                              f"good{number}") for number in range(5)]
    record.write(f"other requests: {statuses}")
    if not all(machine.alive() for machine in machines):
        record.write("a daemon has ended")
        return 2
    late = []
    if len(crashed_at) >= 3:
        late = sorted({attempt for attempt, _ in arrivals
                       if sent_at[attempt] > crashed_at[2] + CONTACT_S})
    record.write(f"crashes {len(crashed_at)}; attempts that were sent later "
                 f"than contactMs after the third crash and reached a backend: "
                 f"{len(late)} (the rule allows {MOST_RETRIES}): "
                 f"{' '.join(late)}")
    return 1 if len(late) > MOST_RETRIES else 0


if __name__ == "__main__":
    run_case(main, FOLDER)
