#!/usr/bin/env python3
"""The main job of pomelohall with separate processes on loopback.

Starts a platform stand-in, daemons and backend servers in two or more data
centres, applies a configuration, sends calls, changes a target, drains a
backend server, and prints the status table and the report.
"""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../tests/process"))
from fleet_control import Fleet, make_config, send_http, wait_until  # noqa:E402

# Both deployments have three services; backend servers differ in speed.
# Per service: (name, classes, [(data centre, speed factor)]).
ENVELOPES = {
    "title": "envelope plant: catalogue, orders, artwork proofs",
    "region": "nordeste",
    "services": {
        "catalogue": [("stock-lookup", "lookup", "/catalogue", "", 800, 0.95)],
        "orders": [("order-release", "transaction", "/orders", "POST", 1000,
                    0.99),
                   ("order-lookup", "lookup", "/orders", "", 800, 0.95)],
        "proofs": [("proof-download", "download", "/proofs", "", 2000, 0.95)],
    },
    "placement": {
        "catalogue": ["plant", "plant", "office", "office", "depot"],
        "orders": ["plant", "office", "depot"],
        "proofs": ["plant", "office", "depot"],
    },
}
PALLETS = {
    "title": "book pallets: manifests, reservations, title lists",
    "region": "luzon",
    "services": {
        "manifests": [("manifest-check", "lookup", "/manifests", "", 800,
                       0.95)],
        "reservations": [("lot-reservation", "transaction", "/reservations",
                          "POST", 1000, 0.99)],
        "titles": [("title-list", "download", "/titles", "", 2000, 0.95)],
    },
    "placement": {name: ["dc1", "dc2", "dc3", "dc4"]
                  for name in ("manifests", "reservations", "titles")},
}


def say(text):
    print(text, flush=True)


def start(fleet, deployment):
    speeds = ["1.0", "0.5", "1.5", "1.0", "0.25"]
    for service, places in deployment["placement"].items():
        for index, place in enumerate(places):
            fleet.add(f"{service}-{index + 1}", place, deployment["region"],
                      service,
                      ["--slots", "20", "--service-time-ms", "4",
                       "--speed", speeds[index % len(speeds)]])
    fleet.start_all()


def apply(fleet, config, what):
    path = fleet.write_config(config)
    code, output = fleet.command("apply", path, "--wait")
    say(f"  apply --wait ({what}): exit code {code}\n    " +
        output.strip().replace("\n", "\n    "))
    assert code == 0, "apply failed"


def calls_across_data_centres(fleet, deployment):
    for service, classes in deployment["services"].items():
        _, kind, path, method, _, _ = classes[0]
        entries = {}
        for daemon in fleet.daemons:
            entries.setdefault(daemon.data_centre, daemon)
        for place, daemon in entries.items():
            target = path + ("/bytes?n=1000000" if kind == "download" else "/")
            headers = {}
            if kind == "transaction":
                status, _, body = send_http("POST", daemon.address("caller"),
                                            "/v1/keys")
                assert status in (200, 201), body
                headers["Idempotency-Key"] = json.loads(body)["key"]
            status, _, body = send_http(
                method or "GET", daemon.address("caller"), target,
                b"{}" if method else None, headers)
            assert status == 200, (status, body[:200])
            say(f"  {method or 'GET':4} {target:28} through {place:7} "
                f"-> {status}, {len(body)} bytes")


def load(fleet, deployment, seconds):
    entries = {}
    for daemon in fleet.daemons:
        entries.setdefault(daemon.data_centre, daemon.address("caller"))
    first = next(iter(deployment["services"].values()))[0]
    arguments = ["pomelohall-load", "--path", first[2],
                 "--concurrency", "8", "--seconds", str(seconds),
                 "--calls", "20000"]
    for address in entries.values():
        arguments += ["--address", address]
    program = fleet.start_program("load", *arguments)
    code = program.process.wait(timeout=seconds + 60)
    with open(program.log_path, encoding="utf-8") as log:
        say("    " + log.read().strip().replace("\n", "\n    "))
    assert code == 0, f"load generator ended with {code}"


def drain_one(fleet, service):
    daemon = next(d for d in fleet.daemons if d.service == service)
    others = sum(d.service == service for d in fleet.daemons) - 1
    code, output = fleet.command("drain", "--daemon", daemon.address("local"))
    say(f"  drain {daemon.name}: exit code {code} {output.strip()}")
    assert code == 0
    fleet.wait_servers(service, others)
    say(f"  every daemon now routes {service} to {others} backend servers")


def run(bin_dir, deployment):
    say(f"\n== {deployment['title']} ==")
    with Fleet(bin_dir) as fleet:
        start(fleet, deployment)
        places = sorted({d.data_centre for d in fleet.daemons})
        say(f"1. started: platform stand-in, {len(fleet.daemons)} daemons and "
            f"backend servers in {len(places)} data centres ({places})")
        fleet.wait_members(len(fleet.daemons))
        say("2. every daemon knows every other")
        config = make_config(deployment["services"])
        apply(fleet, config, "first version")
        for service, where in deployment["placement"].items():
            fleet.wait_servers(service, len(where))
        say("3. calls through an entry daemon in each data centre")
        calls_across_data_centres(fleet, deployment)
        config["classes"][0]["target"]["within_ms"] = 600
        say("4. an operator tightens a target")
        code, output = fleet.command(
            "diff", fleet.write_config(config, "next.json"))
        say("    " + output.strip().replace("\n", "\n    "))
        apply(fleet, config, "second version")
        say("5. load, 5 s")
        load(fleet, deployment, 5)
        say("6. one backend server leaves")
        drain_one(fleet, next(iter(deployment["services"])))
        say("7. status")
        code, output = fleet.command("status")
        say(output)
        say("8. report (the figures of a minute are written 25 s after it)")

        def reported():
            code, output = fleet.command("report", "--window", "1h")
            return output if code == 0 and "%  " in output else None

        say(wait_until(reported, "a report with observed minutes", 150))
        codes = fleet.stop_all()
        say(f"9. stopped gracefully: {len(codes)} programs, exit codes "
            f"{sorted(set(codes.values()))}")
        assert set(codes.values()) == {0}, codes


def main():
    bin_dir = sys.argv[1] if len(sys.argv) > 1 else "build/bin"
    for deployment in (ENVELOPES, PALLETS):
        run(bin_dir, deployment)
    say("\ndemo: all steps passed")


if __name__ == "__main__":
    main()
