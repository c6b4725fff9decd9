#!/usr/bin/env python3
"""Demonstrates pomelohall with separate processes on loopback.

Starts a platform stub, daemons and backend servers in two or more data centres,
applies a configuration, sends calls, changes a target, drains a backend server,
and prints the status table and the report.
"""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__),
                                "../../tests/process"))
from fleet_control import Fleet, make_config, send_http, wait_until  # noqa:E402

# Two example deployments with three services each.
# "services": for each service a list of its classes as
#     (class, kind, path prefix, method, within_ms, share).
# "placement": for each service the data centres of its backend servers.
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


def show(text):
    print(text, flush=True)


def start_deployment(fleet, deployment):
    # Backend servers of a service differ in speed.
    speeds = ["1.0", "0.5", "1.5", "1.0", "0.25"]
    for service, data_centres in deployment["placement"].items():
        for index, data_centre in enumerate(data_centres):
            fleet.add(f"{service}-{index + 1}", data_centre,
                      deployment["region"], service,
                      ["--slots", "20", "--service-time-ms", "4",
                       "--speed", speeds[index % len(speeds)]])
    fleet.start_all()


def apply(fleet, config, description):
    path = fleet.write_config(config)
    code, output = fleet.command("apply", path, "--wait")
    show(f"  apply --wait ({description}): exit code {code}\n    " +
         output.strip().replace("\n", "\n    "))
    assert code == 0, "apply failed"


def send_calls(fleet, deployment):
    for service, classes in deployment["services"].items():
        _, kind, path, method, _, _ = classes[0]
        entry_daemons = {}
        for daemon in fleet.daemons:
            entry_daemons.setdefault(daemon.data_centre, daemon)
        for data_centre, daemon in entry_daemons.items():
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
            show(f"  {method or 'GET':4} {target:28} through "
                 f"{data_centre:7} -> {status}, {len(body)} bytes")


def run_load(fleet, deployment, seconds):
    entry_addresses = {}
    for daemon in fleet.daemons:
        entry_addresses.setdefault(daemon.data_centre,
                                   daemon.address("caller"))
    first_class = next(iter(deployment["services"].values()))[0]
    arguments = ["pomelohall-load", "--path", first_class[2],
                 "--concurrency", "8", "--seconds", str(seconds),
                 "--calls", "20000"]
    for address in entry_addresses.values():
        arguments += ["--address", address]
    program = fleet.start_program("load", *arguments)
    code = program.process.wait(timeout=seconds + 60)
    with open(program.log_path, encoding="utf-8") as log:
        show("    " + log.read().strip().replace("\n", "\n    "))
    assert code == 0, f"load generator ended with {code}"


def drain_backend_server(fleet, service):
    daemon = next(d for d in fleet.daemons if d.service == service)
    others = sum(d.service == service for d in fleet.daemons) - 1
    code, output = fleet.command("drain", "--daemon", daemon.address("local"))
    show(f"  drain {daemon.name}: exit code {code} {output.strip()}")
    assert code == 0
    fleet.wait_servers(service, others)
    show(f"  every daemon now routes {service} to {others} backend servers")


def run_demo(bin_dir, deployment):
    show(f"\n== {deployment['title']} ==")
    with Fleet(bin_dir) as fleet:
        start_deployment(fleet, deployment)
        data_centres = sorted({d.data_centre for d in fleet.daemons})
        show(f"1. started: platform stub, {len(fleet.daemons)} daemons and "
             f"backend servers in {len(data_centres)} data centres "
             f"({data_centres})")
        fleet.wait_members(len(fleet.daemons))
        show("2. every daemon has discovered all others")
        config = make_config(deployment["services"])
        apply(fleet, config, "first version")
        for service, locations in deployment["placement"].items():
            fleet.wait_servers(service, len(locations))
        show("3. calls through an entry daemon in each data centre")
        send_calls(fleet, deployment)
        config["classes"][0]["target"]["within_ms"] = 600
        show("4. an operator tightens a target")
        code, output = fleet.command(
            "diff", fleet.write_config(config, "next.json"))
        show("    " + output.strip().replace("\n", "\n    "))
        apply(fleet, config, "second version")
        show("5. load, 5 s")
        run_load(fleet, deployment, 5)
        show("6. one backend server is drained")
        drain_backend_server(fleet, next(iter(deployment["services"])))
        show("7. status")
        code, output = fleet.command("status")
        show(output)
        show("8. report (the figures of a minute are written 25 s after its "
             "end)")

        def complete_report():
            code, output = fleet.command("report", "--window", "1h")
            return output if code == 0 and "%  " in output else None

        show(wait_until(complete_report, "a report with observed minutes",
                        150))
        codes = fleet.stop_all()
        show(f"9. stopped gracefully: {len(codes)} programs, exit codes "
             f"{sorted(set(codes.values()))}")
        assert set(codes.values()) == {0}, codes


def main():
    bin_dir = sys.argv[1] if len(sys.argv) > 1 else "build/bin"
    for deployment in (ENVELOPES, PALLETS):
        run_demo(bin_dir, deployment)
    show("\ndemo: all steps passed")


if __name__ == "__main__":
    main()
