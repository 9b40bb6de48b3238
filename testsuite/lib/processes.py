"""Starts the programs of a small system as separate processes on loopback and stops only these.

Used by tools/demo, tools/overhead and the whole-program cases. Only the standard library is needed.
"""

import atexit
import hashlib
import http.client
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time

LOOPBACK = "127.0.0.1"
WAIT_LIMIT_S = 60.0  # Maximum wait for a condition; no test's result depends on this value.
POLL_PERIOD_S = 0.05
port_holders = []  # A socket for each port that was given out.


class Failure(Exception):
    """A condition did not become true in time, or a response was not as expected."""


def wait_until(what, condition, limit_s=WAIT_LIMIT_S):
    """Polls `condition` until it returns a true value, and returns this value."""
    deadline = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise Failure(f"timed out after {limit_s:.0f} s waiting for: {what}")
        time.sleep(POLL_PERIOD_S)


def free_port():
    """Returns a free port below the default range of ephemeral ports, so that no outgoing connection
    takes it before its server listens. A socket that does not listen holds it for as long as this process
    runs: servers with SO_REUSEADDR can listen there, also again, and nobody else takes it in between."""
    while True:
        port = secrets.choice(range(10_000, 32_000))
        holder = socket.socket()
        try:
            holder.bind((LOOPBACK, port))
        except OSError:
            holder.close()
            continue
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        port_holders.append(holder)
        return port


class Response:
    """A complete HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(port, method, path, body=None, headers=None, timeout_s=30.0):
    """Sends one HTTP request to a loopback port and returns its response."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    try:
        data = json.dumps(body).encode() if body is not None and not isinstance(body, bytes) else body
        all_headers = {"Content-Type": "application/json"} if data is not None else {}
        all_headers.update(headers or {})
        connection.request(method, path, body=data, headers=all_headers)
        reply = connection.getresponse()
        return Response(reply.status, dict(reply.getheaders()), reply.read().decode())
    finally:
        connection.close()


def status_of(port, path):
    """Returns the status of a GET request, or 0 if there is no response."""
    try:
        return call(port, "GET", path, timeout_s=2.0).status
    except (OSError, http.client.HTTPException):
        return 0


class System:
    """The processes of a small system. `stop` kills only the processes that this object started."""

    def __init__(self, build_dir, port_base=None, keep_logs=False):
        self.build = pathlib.Path(build_dir).resolve()
        self.next_port = port_base
        self.keep_logs = keep_logs
        self.logs = pathlib.Path(tempfile.mkdtemp(prefix="nutmegspur-"))
        self.processes = {}
        self.instances = []
        self.entries = {}
        self.engines = {}
        self.operator_key = secrets.token_hex(24)
        self.peer_secret = secrets.token_hex(24)
        self.platform_port = None
        atexit.register(self.stop)

    def port(self):
        if self.next_port is None:
            return free_port()
        self.next_port += 1
        return self.next_port - 1

    def start(self, name, program, args, env=None):
        """Starts a program; its output goes to the file <name>.log."""
        log = open(self.logs / f"{name}.log", "ab")
        process = subprocess.Popen(
            [str(self.build / "src" / program / program), *args],
            stdout=log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL,
            env={**os.environ, **(env or {})})
        log.close()
        self.processes[name] = process
        return process

    def read_log(self, name):
        return (self.logs / f"{name}.log").read_text(errors="replace")

    def start_standin(self, name, kind, args):
        """Starts a stand-in, waits until it listens and returns its port."""
        port = self.port()
        self.start(name, "nutmegspur_standin", [kind, "--port", str(port), *args])
        wait_until(f"{name} to listen", lambda:
                   self.check_running(name) and status_of(port, "/standin/healthz") == 200)
        return port

    def check_running(self, name):
        code = self.processes[name].poll()
        if code is not None:
            raise Failure(f"{name} exited with status {code}:\n{self.read_log(name)[-3000:]}")
        return True

    def start_platform(self):
        self.platform_port = self.start_standin("platform", "platform", [])
        return self.platform_port

    def list_instance(self, name, kind, zone, region, port, service="", leaving=False):
        """Adds an instance to the platform's instance list, or changes its entry."""
        row = {"name": name, "kind": kind, "zone": zone, "region": region, "address": LOOPBACK,
               "port": port, "service": service, "leaving": leaving}
        self.instances = [it for it in self.instances if it["name"] != name] + [row]
        self.put_instances()

    def unlist_instance(self, name):
        self.instances = [it for it in self.instances if it["name"] != name]
        self.put_instances()

    def put_instances(self):
        reply = call(self.platform_port, "PUT", "/standin/instances", self.instances)
        if reply.status // 100 != 2:
            raise Failure(f"setting the instance list failed: {reply.status} {reply.body}")

    def start_engine(self, name, zone, region, model, *args):
        port = self.start_standin(name, "engine", ["--name", name, "--zone", zone, "--model", model, *args])
        self.engines[name] = port
        self.list_instance(name, "engine", zone, region, port)
        return port

    def start_service(self, name, zone, region, service):
        port = self.start_standin(name, "service", ["--name", service, "--zone", zone])
        self.engines[name] = port
        self.list_instance(name, "service", zone, region, port, service=service)
        return port

    def start_entry(self, name, zone, region, *args):
        """Starts an entry instance and does not wait for it; see `wait_ready`."""
        caller, operator, peer = self.port(), self.port(), self.port()
        self.entries[name] = {"caller": caller, "operator": operator, "peer": peer,
                              "zone": zone, "region": region, "args": args}
        self.list_instance(name, "entry", zone, region, peer)
        self.launch_entry(name)
        return caller

    def launch_entry(self, name):
        """Starts the process of an entry instance with the options given to `start_entry`."""
        it = self.entries[name]
        env = {"NUTMEGSPUR_PEER_SECRET": self.peer_secret,
               "NUTMEGSPUR_BOOTSTRAP_OPERATOR_KEY_SHA256":
                   hashlib.sha256(self.operator_key.encode()).hexdigest()}
        self.start(name, "nutmegspur", [
            "entry", "--instance", name, "--zone", it["zone"], "--region", it["region"],
            "--caller-port", str(it["caller"]), "--operator-port", str(it["operator"]),
            "--peer-port", str(it["peer"]), "--platform-port", str(self.platform_port),
            *it["args"]], env)

    def wait_ready(self, *names):
        for name in names or self.entries:
            port = self.entries[name]["caller"]
            wait_until(f"{name} to be ready", lambda: self.check_running(name) and status_of(port, "/readyz") == 200)

    def ctl(self, *args, entry=None, stdin=None, check=True, env=None):
        """Runs the operators' client `nutmegspur ctl` against an entry instance, by default the first."""
        port = self.entries[entry or next(iter(self.entries))]["operator"]
        done = subprocess.run(
            [str(self.build / "src" / "nutmegspur" / "nutmegspur"), "ctl", *args],
            input=stdin, text=True, capture_output=True, check=False, timeout=60,
            env={**os.environ, "NUTMEGSPUR_OPERATOR_URL": f"http://{LOOPBACK}:{port}",
                 "NUTMEGSPUR_OPERATOR_KEY": self.operator_key, **(env or {})})
        if check and done.returncode != 0:
            raise Failure(f"ctl {' '.join(args)}: status {done.returncode}\n{done.stdout}{done.stderr}")
        return done

    def issue_key(self, name, team):
        """Issues an API key for callers of the team and returns its secret."""
        done = self.ctl("--json", "key", "issue", name, "--team", team)
        return json.loads(done.stdout)["secret"]

    def apply(self, resources):
        return self.ctl("apply", "-f", "-", stdin=json.dumps(resources))

    def record(self, port):
        """Returns the record of requests that a stand-in received."""
        return call(port, "GET", "/standin/record").json()

    def fault(self, port, mode, match="", count=0):
        body = {"mode": mode, "match": match, "count": count}
        reply = call(port, "POST", "/standin/fault", body)
        if reply.status // 100 != 2:
            raise Failure(f"setting the fault failed: {reply.status} {reply.body}")

    def send_signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def stop(self):
        """Kills every process that this object started; testsuite/graceful_shutdown covers graceful stops."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.processes = {}
        if not self.keep_logs:
            shutil.rmtree(self.logs, ignore_errors=True)


def run_case(case):
    """Runs `case(system)` with the build directory from the command line; prints the logs on failure."""
    import sys
    import traceback
    system = System(sys.argv[1])
    try:
        case(system)
        print("case passed")
        code = 0
    except Exception:  # Any exception fails the case.
        traceback.print_exc()
        for name in system.processes:
            print(f"--- {name}\n{system.read_log(name)[-4000:]}")
        code = 1
    finally:
        system.stop()
    sys.exit(code)
