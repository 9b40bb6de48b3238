"""A write of the sealed usage window that the store does late overwrites the record of what was reported."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib"))

import small_fleet
from small_fleet import Case, Client, Worker

SEALED_KEY = "usage/sealed"  # The project's record of the window that is reported.
LATE_S = 2.5  # The pages' bench: 1 to 6 s.
REQUESTS_PER_S = 40


class LateSeal(Case):
    def config(self):
        def route(name, kind, **fields):
            return {"name": name, "host": "a.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": 6000,
                    "target_latency_ms": 6000, "priority": 1, "service": "app", "max_attempts": 1, "public": False,
                    "sticky": False, "resumable": False, **fields}

        return {"version": 3, "routes": [route("read", "safe"), route("post", "unsafe")],
                "services": [{"name": "app", "health_path": "/health", "max_connections": 300}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000},
                "tenants": [{"name": f"team-{n}", "api_keys": [f"key-{n}"]} for n in (1, 2)]}

    def workers(self):
        return [Worker(self, f"app-{n}", "app", zone, 64) for n, zone in enumerate(self.zones)]

    async def one_request(self, number):
        name = list(self.running)[number % len(self.running)]
        request_id = next(self.request_ids)
        # Half of the requests are reports that take some seconds, well inside their route's time-out.
        work_ms = random.randrange(2500, 4500) if number % 2 else 30
        route, method = ("read", "GET") if number % 4 < 2 else ("post", "POST")
        status = await Client.send(self.ports[name]["front"], method, f"/{route}/x", {
            "Host": "a.example", "X-Request-Id": request_id, "X-Deadline-Ms": "6000", "X-Work-Ms": work_ms,
            "X-Api-Key": f"key-{1 + number % 2}"}, b"" if method == "GET" else b"hello")
        self.record(f"client: {request_id} at {name} is answered {status}")

    async def send_traffic(self):
        for number in range(10_000):
            self.background(self.one_request(number))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    def lose_next_seal(self):
        """The next write of the sealed window gets no answer, and is done late."""
        self.lost_at = None

        def fault(keys):
            if SEALED_KEY not in keys or self.lost_at is not None:
                return None
            self.lost_at = time.monotonic()
            return ("late", LATE_S) if self.trouble else None

        self.store.fault_of_write = fault

    async def play(self):
        self.running = dict(self.instances)
        self.background(self.send_traffic())
        await self.wait("usage reports", lambda: len(self.cloud.usage) >= 2, 30)
        self.lose_next_seal()
        await self.wait("the next write of a sealed window", lambda: self.lost_at is not None)
        await asyncio.sleep(self.lost_at + LATE_S + 0.3 - time.monotonic())
        holder = self.cloud.usage[-1][2]
        # Planned work: the holder of the duties is stopped, and starts again once it has ended.
        self.running.pop(holder)
        self.signal(holder, signal.SIGTERM)
        process = self.processes[holder]
        await self.wait(f"{holder} to end", lambda: process.poll() is not None, 10)
        self.start_instance(holder)
        await self.wait("reports of the next holder", lambda: self.cloud.usage[-1][2] != holder, 20)
        await asyncio.sleep(2 * small_fleet.REPORT_WINDOW_S)
        reports = collections.defaultdict(list)
        for window, counts, who, token in self.cloud.usage:
            if (counts, who, token) not in reports[window]:
                reports[window].append((counts, who, token))
        return [f"usage of window {window} was accepted with different counts: "
                + "; ".join(f"{counts} from {who}, fencing token {token}" for counts, who, token in rows)
                for window, rows in reports.items() if any(row[0] != rows[0][0] for row in rows)]


LateSeal(pathlib.Path(__file__).parent).main()
