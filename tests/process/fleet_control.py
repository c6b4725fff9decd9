"""Starts and stops the programs of pomelohall on loopback.

Used by the demo, the process tests, the soak test and the benchmarks. A fleet
only signals processes that it started.
"""

import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request


class PortBlock:
    """A block of TCP ports of 127.0.0.1, reserved for one fleet.

    The blocks are below the kernel's ephemeral port range. An outgoing
    connection can thus not take a free port before the program binds it. The
    first port of a block stays bound, so that no other fleet reserves the
    block.
    """

    FIRST_PORT = 10000
    BLOCK_SIZE = 1000
    BLOCK_COUNT = 22

    def __init__(self):
        self.guard_socket, self.next_port = self.reserve_block()
        self.end_port = self.next_port + self.BLOCK_SIZE - 1

    def reserve_block(self):
        for index in range(self.BLOCK_COUNT):
            first = self.FIRST_PORT + index * self.BLOCK_SIZE
            guard_socket = socket.socket()
            try:
                guard_socket.bind(("127.0.0.1", first))
                return guard_socket, first + 1
            except OSError:
                guard_socket.close()
        raise RuntimeError("all port blocks are in use")

    def allocate(self, count):
        """Returns `count` ports that no other process listens on."""
        ports = []
        while len(ports) < count:
            if self.next_port >= self.end_port:
                raise RuntimeError("the port block has no free ports left")
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", self.next_port))
                    ports.append(self.next_port)
                except OSError:
                    pass
            self.next_port += 1
        return ports

    def release(self):
        self.guard_socket.close()


def send_http(method, address, path, body=None, headers=None, timeout=10):
    """Sends an HTTP request; returns (status, headers, body bytes).

    Encodes a body that is a dict or list as JSON.
    """
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method,
        headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


def wait_until(condition, description, timeout=30):
    """Polls `condition` until its result is true; returns the result.

    Raises TimeoutError with `description` after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            result = condition()
            if result:
                return result
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise TimeoutError(f"timed out after {timeout} s: {description}")


class Program:
    """A child process whose output is appended to a log file."""

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        with open(log_path, "ab") as log:
            self.process = subprocess.Popen(
                arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def stop(self, timeout=30):
        """Sends SIGTERM if the program runs; returns its exit code."""
        if self.process.poll() is None:
            self.process.terminate()
        return self.process.wait(timeout)

    def running(self):
        return self.process.poll() is None


def cpu_seconds(program):
    """Returns the CPU time that a running program has used."""
    with open(f"/proc/{program.process.pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Daemon:
    """A VM: addresses and processes of its daemon and its backend server."""

    def __init__(self, name, data_centre, region, service, backend_options):
        self.name = name
        self.data_centre = data_centre
        self.region = region
        self.service = service
        self.backend_options = backend_options or []
        self.ports = {}
        self.backend_port = 0
        self.program = None
        self.backend = None

    def address(self, listener):
        return f"127.0.0.1:{self.ports[listener]}"


class Fleet:
    """A platform stub, daemons and backend servers on loopback."""

    def __init__(self, bin_dir, log_level="info"):
        self.bin_dir = os.path.abspath(bin_dir)
        self.work_dir = tempfile.mkdtemp(prefix="pomelohall-")
        self.log_level = log_level
        self.daemon_settings = {}  # Added to the settings of each daemon.
        self.platform = None
        self.platform_port = 0
        self.daemons = []
        self.started = []
        self.port_block = PortBlock()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()

    def path(self, name):
        return os.path.join(self.work_dir, name)

    def start_program(self, name, *arguments):
        binary = os.path.join(self.bin_dir, arguments[0])
        program = Program(name, [binary, *arguments[1:]],
                          self.path(name + ".log"))
        self.started.append(program)
        return program

    # Platform ---------------------------------------------------------------

    def start_platform(self):
        self.platform_port = self.port_block.allocate(1)[0]
        self.platform = self.start_program(
            "platform", "pomelohall-platform-stub", "--listen",
            self.platform_address())
        wait_until(lambda: send_http("GET", self.platform_address(),
                                     "/control/calls")[0] == 200,
                   "platform stub responds")

    def platform_address(self):
        return f"127.0.0.1:{self.platform_port}"

    def set_platform_fault(self, mode, delay_ms=0, count=0):
        status, _, _ = send_http(
            "POST", self.platform_address(), "/control/faults",
            {"mode": mode, "delay_ms": delay_ms, "count": count})
        assert status == 200, f"fault request returned status {status}"

    def platform_calls(self):
        return json.loads(send_http("GET", self.platform_address(),
                                    "/control/calls")[2])

    # Daemons ----------------------------------------------------------------

    def add(self, name, data_centre, region="r1", service=None, backend=None):
        daemon = Daemon(name, data_centre, region, service, backend)
        self.daemons.append(daemon)
        return daemon

    def assign_ports(self):
        ports = self.port_block.allocate(5 * len(self.daemons))
        for index, daemon in enumerate(self.daemons):
            daemon_ports = ports[5 * index:5 * index + 5]
            daemon.ports = dict(zip(("caller", "forward", "peer", "local"),
                                    daemon_ports))
            daemon.backend_port = daemon_ports[4]

    def seeds(self):
        """Returns the peer addresses of three daemons per data centre."""
        peers = {}
        for daemon in self.daemons:
            peers.setdefault(daemon.data_centre, []).append(
                daemon.address("peer"))
        return [address for group in peers.values() for address in group[:3]]

    def write_settings(self, daemon, blocked_peers=()):
        settings = {
            "cluster": "fleet",
            "name": daemon.name,
            "region": daemon.region,
            "data_centre": daemon.data_centre,
            "listeners": {key: daemon.address(key) for key in daemon.ports},
            "seeds": [seed for seed in self.seeds()
                      if seed != daemon.address("peer")],
            "platform": {"address": self.platform_address()},
            "log_level": self.log_level,
            **self.daemon_settings,
        }
        if blocked_peers:
            settings["test"] = {"blocked_peers": list(blocked_peers)}
        path = self.path(daemon.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start_daemon(self, daemon, blocked_peers=()):
        path = self.write_settings(daemon, blocked_peers)
        daemon.program = self.start_program(
            daemon.name, "pomelohalld", "--settings", path)

    def allocate_listeners(self, *names):
        """Returns an address with a free port for each name."""
        return {name: f"127.0.0.1:{port}" for name, port in
                zip(names, self.port_block.allocate(len(names)))}

    def start_sidecar(self, store_address, name="sidecar",
                      server="127.0.0.1:1"):
        """Starts a sidecar beside the backend server at the address `server`.

        Returns the program and the addresses of its listeners by name.
        """
        listeners = self.allocate_listeners(
            "caller", "forward", "local", "ready", "metrics")
        path = self.write_config({
            "name": name, "data_centre": "dc1",
            "backend_server": {"address": server, "service": "orders"},
            "listeners": listeners, "store": {"address": store_address}},
            name + ".json")
        program = self.start_program(name, "pomelohall-sidecar",
                                     "--settings", path)
        wait_until(lambda: send_http("GET", listeners["metrics"], "/metrics"),
                   "the sidecar serves its metrics")
        return program, listeners

    def start_backend(self, daemon):
        if daemon.service is None:
            return
        daemon.backend = self.start_program(
            daemon.name + "-backend", "pomelohall-backend-stub",
            "--listen", f"127.0.0.1:{daemon.backend_port}",
            "--daemon", daemon.address("local"),
            "--service", daemon.service, *daemon.backend_options)

    def start_all(self):
        self.start_platform()
        self.assign_ports()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self.start_backend(daemon)

    # Status -----------------------------------------------------------------

    def status(self, daemon):
        return json.loads(
            send_http("GET", daemon.address("local"), "/status")[2])

    def version(self, daemon):
        """Returns the version in force; 0 if none or if unreachable."""
        try:
            return self.status(daemon)["version_in_force"]
        except (OSError, ValueError):
            return 0

    def wait_version(self, version, daemons=None, timeout=40):
        selected = self.daemons if daemons is None else daemons
        wait_until(lambda: all(self.version(d) >= version for d in selected),
                   f"version {version} in force on {len(selected)} daemons",
                   timeout)

    def wait_members(self, count, daemons=None, timeout=40):
        selected = self.daemons if daemons is None else daemons
        wait_until(lambda: all(self.status(d)["members_alive"] >= count
                               for d in selected),
                   f"{count} members known to {len(selected)} daemons", timeout)

    def wait_servers(self, service, count, daemons=None, timeout=40):
        """Waits until the daemons see `count` ready servers of a service."""
        selected = self.daemons if daemons is None else daemons

        def ready(daemon):
            servers = self.status(daemon)["backend_servers"]
            return servers.get(service, 0) == count

        wait_until(lambda: all(ready(d) for d in selected),
                   f"{count} ready backend servers of {service}", timeout)

    # Operators --------------------------------------------------------------

    def command(self, *arguments, timeout=60):
        """Runs the `pomelohall` command; returns (exit code, output).

        The output includes standard error, where progress is written, only if
        the command failed.
        """
        completed = subprocess.run(
            [os.path.join(self.bin_dir, "pomelohall"), "--platform",
             self.platform_address(), *arguments],
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            stderr=subprocess.PIPE, timeout=timeout, check=False)
        output = completed.stdout.decode()
        if completed.returncode != 0:
            output += completed.stderr.decode()
        return completed.returncode, output

    def write_config(self, config, name="config.json"):
        path = self.path(name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file, indent=2)
        return path

    # Shutdown ---------------------------------------------------------------

    def programs(self):
        for daemon in self.daemons:
            if daemon.backend:
                yield daemon.backend
        for daemon in self.daemons:
            if daemon.program:
                yield daemon.program
        if self.platform:
            yield self.platform

    def stop_all(self):
        """Stops all programs with SIGTERM; returns {name: exit code}."""
        codes = {}
        for daemon in self.daemons:
            if daemon.backend and daemon.backend.running():
                codes[daemon.backend.name] = daemon.backend.stop()
        running = [d.program for d in self.daemons
                   if d.program and d.program.running()]
        for program in running:
            program.process.terminate()
        for program in running:
            codes[program.name] = program.stop()
        if self.platform:
            codes["platform"] = self.platform.stop()
        return codes

    def close(self):
        """Kills the programs that still run and releases the ports."""
        for program in self.started:
            if program.running():
                program.send_signal(signal.SIGCONT)
                program.kill()
        self.port_block.release()


def make_config(services):
    """Returns a configuration with one route per class.

    `services`: {service: [(class, kind, path prefix, method, within_ms,
    share)]}. An empty method stands for all methods.
    """
    config = {"services": [], "classes": [], "routes": []}
    for service, classes in services.items():
        config["services"].append({"name": service})
        for name, kind, path, method, within_ms, share in classes:
            target = {"within_ms": within_ms, "share": share}
            if kind == "download":
                target["min_bytes_per_s"] = 1000000
            config["classes"].append({"name": name, "service": service,
                                      "kind": kind, "target": target})
            route = {"path_prefix": path, "class": name}
            if method:
                route["method"] = method
            config["routes"].append(route)
    return config
