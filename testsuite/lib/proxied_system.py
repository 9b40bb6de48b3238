"""A small system on the users' platform: the platform's stand-in with its workers in this process,
and proxying instances as separate processes."""

import http.client
import itertools
import json
import signal

import faulty_link
import platform_standin
import processes

REPORT_WINDOW_S = 1
STREAM_ROUTES = ("chat", "resume", "resume3", "split")


def example_config(version=1):
    """Returns a configuration: two services, a resumable and a non-resumable streaming route, plain routes."""
    def route(name, kind, service, **overrides):
        return {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "kind": kind,
                "timeout_ms": 8000, "target_latency_ms": 4000, "priority": 1, "service": service,
                "max_attempts": 1, "public": False, "sticky": False, "resumable": False, **overrides}

    return {
        "version": version,
        "routes": [
            route("read", "safe", "app", max_attempts=2),
            route("pay", "unsafe", "app"),
            route("chat", "streaming", "llm", sticky=True, gap_aim_ms=500),
            route("resume", "streaming", "llm", sticky=True, resumable=True, max_attempts=2,
                  gap_aim_ms=500),
            route("open", "safe", "app", public=True),
        ],
        "services": [
            {"name": "app", "health_path": "/health", "max_connections": 50},
            {"name": "llm", "health_path": "/health", "max_connections": 50,
             "engine": {"slots": 8, "kv_capacity_tokens": 100000, "stage_switch_s": 1}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [{"name": "team-1", "api_keys": ["key-1"]},
                    {"name": "team-2", "api_keys": ["key-2"]}],
    }


def prompt_of(request_id):
    """A prompt whose shared part no other request has, so that the engines that take it differ."""
    return f"a{request_id[-7:]}:3000", f"{request_id[-8:]}:1000"


class ProxiedSystem:
    """Platform stand-in, workers and proxying instances. `stop` kills only the processes started here."""

    def __init__(self, build_dir, instances=3, extra_args=(), zones=("z-1",), versions=("v1",)):
        self.system = processes.System(build_dir)
        self.platform = platform_standin.Platform(processes.free_port(), processes.free_port())
        self.ports = {}
        self.links = {}  # Of each instance, by the worker's port.
        self.store_ports = {}
        self.store_views = {}  # Of each instance.
        self.report_window_s = REPORT_WINDOW_S
        self.grace_s = 8
        self.zones = {f"front-{n}": zones[(n - 1) % len(zones)] for n in range(1, instances + 1)}
        self.extra_args = list(extra_args)
        self.request_numbers = itertools.count(1)
        for n in range(1, instances + 1):
            self.ports[f"front-{n}"] = {it: processes.free_port() for it in ("front", "ready", "control")}
        for n in (1, 2):
            version = versions[(n - 1) % len(versions)]
            self.platform.add_worker(f"app-{n}", "app", f"z-{n}", processes.free_port())
            self.platform.add_worker(f"run-{n}", "llm", f"z-{n}", processes.free_port(), "decode", version)
            self.platform.add_worker(f"prep-{n}", "llm", f"z-{n}", processes.free_port(), "prefill", version)

    def separate_links(self):
        """Gives each instance links of its own to all workers, so that it can be cut off from them by `cut`. Must be
        called after workers were added and before instances start."""
        for name in self.ports:
            self.links[name] = {}
        self.separate_stores()
        for it in self.platform.workers.values():
            self.link_port(it.port)

    def separate_stores(self):
        """Gives each instance a view of its own on the store, which may refuse it. Must be called before instances
        start."""
        for name in self.ports:
            self.store_ports[name] = processes.free_port()
            self.store_views[name] = self.platform.add_store_view(self.store_ports[name], self.links.get(name, {}))

    def link_port(self, port):
        """Gives each instance a link of its own to the worker at `port`; before the worker registers."""
        for links in self.links.values():
            links[port] = faulty_link.CutLink(self.platform, port)

    def cut(self, name, way, workers=None):
        """Partitions an instance from workers, all unless some are named; callers, the store and the other instances
        still reach it."""
        ports = [self.worker(it).port for it in workers or self.platform.workers]

        async def cut_all():  # At one moment, as a partition does.
            for it in ports:
                self.links[name][it].cut(way)

        self.platform.run(cut_all())

    def cut_port(self, name, port, way):
        """Cuts one more link of an instance that is cut off."""
        async def cut_one():
            self.links[name][port].cut(way)

        self.platform.run(cut_one())

    def heal(self, name):
        for it in self.links[name].values():
            if it.is_cut:
                self.platform.run(it.heal())

    def settings(self, name):
        listen = {what: f"{processes.LOOPBACK}:{port}" for what, port in self.ports[name].items()}
        return {
            "node_name": name, "ip": processes.LOOPBACK, "zone": self.zones[name],
            "region": self.zones[name].replace("z", "r"),
            "zones": {"z-1": "r-1", "z-2": "r-2"}, "listen": listen,
            "seeds": [f"{processes.LOOPBACK}:{it['control']}" for it in self.ports.values()],
            "platform": {"address": f"{processes.LOOPBACK}:{self.store_ports.get(name, self.platform.store_port)}"},
            "cloud": {"address": f"{processes.LOOPBACK}:{self.platform.cloud_port}",
                      "duties": ["usage_report", "autoscale"]},
            "bounds": {"grace_s": self.grace_s, "lease_ms": 3000, "report_window_s": self.report_window_s,
                       "usage_late_s": 10, "retry_budget_ratio": 0.2, "budget_min_retries": 54,
                       "budget_window_s": 10},
        }

    def start(self, name):
        path = self.system.logs / f"{name}.json"
        path.write_text(json.dumps(self.settings(name)))
        self.system.start(name, "nutmegspur", ["proxy", "--settings-file", str(path), *self.extra_args])

    def start_all(self, config=None):
        self.platform.put_config(config or example_config())
        for name in self.ports:
            self.start(name)
        for name in self.ports:
            self.wait_ready(name)

    def ready(self, name):
        return processes.status_of(self.ports[name]["ready"], "/ready") == 200

    def wait_ready(self, name):
        processes.wait_until(f"{name} to be ready", lambda: self.system.check_running(name) and self.ready(name))

    def signal(self, name, signal_number):
        self.system.processes[name].send_signal(signal_number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.system.processes[name].wait()

    def worker(self, name):
        return self.platform.workers[name]

    def new_id(self):
        return f"{next(self.request_numbers):016x}"

    def send(self, route, request_id=None, key="key-1", method="POST", entry="front-1", headers=None,
             body=b"hello", timeout_s=30.0, shared_parts=("aa:3000",), path="x", own_part=None, kept=None):
        """Sends one request. The response's `complete` is False if its body was truncated. A streamed request's
        prompt has the shared parts and one of its own. `kept` holds connections by instance that are used again, for
        as long as the instance keeps them; without it the connection is a new one."""
        request_id = request_id or self.new_id()
        all_headers = {"Host": "a.example", "X-Request-Id": request_id, "X-Deadline-Ms": "8000",
                       "X-Api-Key": key, **(headers or {})}
        if route in STREAM_ROUTES:
            all_headers.update({"X-Model-Name": "m", "X-Token-Usage": "4000,20",
                                "X-Prompt-Prefix": ",".join([*shared_parts, f"{own_part or request_id[:8]}:1000"])})
        connection = (kept or {}).pop(entry, None) or http.client.HTTPConnection(
            processes.LOOPBACK, self.ports[entry]["front"], timeout=timeout_s)
        reusable = False
        try:
            connection.request(method, f"/{route}/{path}?y=1", body=body, headers=all_headers)
            try:
                reply = connection.getresponse()
            except (http.client.HTTPException, ConnectionError):
                return processes.Response(0, {}, "")  # Connection closed without a response.
            complete = True
            try:
                content = reply.read()
                reusable = kept is not None and not reply.will_close
            except (http.client.IncompleteRead, ConnectionError) as ec:
                content = getattr(ec, "partial", b"")
                complete = False
            response = processes.Response(reply.status, {k.lower(): v for k, v in reply.getheaders()},
                                          content.decode())
            response.complete = complete
            response.request_id = request_id
            return response
        finally:
            if reusable:
                kept[entry] = connection
            else:
                connection.close()

    def begin_stream(self, route, entry="front-1", events=1, headers=None):
        """Sends a request for a stream, reads its first events and closes the connection. Returns the request's id
        and the id of the last event that was read; no event: (id, 0)."""
        request_id = self.new_id()
        for worker in self.platform.workers.values():
            worker.faults[request_id] = "slow_events"
        connection = http.client.HTTPConnection(processes.LOOPBACK, self.ports[entry]["front"], timeout=10)
        last = 0
        try:
            connection.request("POST", f"/{route}/x?y=1", body=b"hello", headers={
                "Host": "a.example", "X-Request-Id": request_id, "X-Deadline-Ms": "8000", "X-Api-Key": "key-1",
                "X-Model-Name": "m", "X-Token-Usage": "4000,20", "X-Prompt-Prefix": ",".join(prompt_of(request_id)),
                **(headers or {})})
            reply = connection.getresponse()
            while reply.status == 200 and last < events:
                line = reply.readline().decode()
                if not line:
                    break
                if line.startswith("id: "):
                    last = int(line[4:])
        finally:
            connection.close()
        return request_id, last

    def execution_count(self, request_id):
        """Returns how often workers executed the request."""
        return sum(it.executed.count(request_id) for it in self.platform.workers.values())

    def received_requests(self, request_id):
        return [(it.name, request) for it in self.platform.workers.values()
                for request in it.received if request.headers.get("x-request-id") == request_id]

    def metric(self, name, series):
        """The value of a series of an instance's metrics page; 0 if it is not there."""
        page = processes.call(self.ports[name]["control"], "GET", "/metrics").body
        return next((float(line.split()[-1]) for line in page.splitlines() if line.startswith(series + " ")), 0.0)

    def stop(self):
        self.system.stop()
