"""A stand-in for the users' platform: store, cloud interface for duties, and workers in one process.

It implements the platform's published protocol, records the requests that it receives and injects
faults on request. `Platform` runs it in a thread of a test; `python3 platform_standin.py` runs it
as a process. Only the standard library is needed.
"""

import argparse
import asyncio
import base64
import itertools
import json
import threading
import time
import urllib.parse

import spoiled_streams

LOOPBACK = "127.0.0.1"
HEARTBEAT_S = 0.5
malformed_requests = []  # Why requests could not be read.


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.target = target
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers  # Names in lower case.
        self.body = body


async def read_request(reader):
    """Returns the next request of a connection, or None at its end."""
    try:
        header_lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = header_lines[0].split(" ", 2)
    headers = {}
    for line in header_lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def make_response(status, body=b"", headers=None):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def write_endlessly(writer, first, repeated, pause_s):
    """Writes until the caller closes the connection."""
    writer.write(first)
    while not writer.transport.is_closing():
        writer.write(repeated)
        await writer.drain()
        await asyncio.sleep(pause_s)


ENDLESS_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + b"x" * 65536 + b"\r\n", 0.001


async def serve(port, handle, writers=None):
    """Listens; `handle(request, writer)` returns the bytes of a response, or None to reset the connection.
    `writers` holds the open connections."""
    writers = set() if writers is None else writers

    async def connection(reader, writer):
        writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                reply = await handle(request, writer)
                if reply is None:
                    writer.transport.abort()
                    return
                writer.write(reply)
                await writer.drain()
        except ValueError as ec:
            malformed_requests.append(str(ec))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, LOOPBACK, port)


class Store:
    """The key-value store: one revision counter, leases and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.compacted_revision = 0
        self.leases = {}
        self.lease_ids = itertools.count(7000)
        self.changed = asyncio.Condition()
        self.down = False  # Responds to every request with status 503.
        self.lose_answers = False  # Executes writes, then resets the connection instead of responding.
        # Given the keys of a write: "lost" (not executed), seconds until it is executed, or None. Neither is answered.
        self.fault_of_write = lambda keys: None
        self.late_tasks = set()
        self.late_writes = []  # Keys of writes that were received, and have now been executed or rejected late.
        self.overwritten = []  # Keys that a late write replaced, though they had been written since it was sent.
        self.calls = 0
        self.cuts_watches = False  # Closes the connections of watches that wait.
        self.endless = False  # No answer has an end.
        self.endless_answers = 0  # Those that the caller ended.
        self.era = 1  # Number of the store's history; a restore begins another one.

    def copy(self):
        """Returns a copy that `restore` accepts."""
        return {"revision": self.revision, "items": dict(self.items), "leases": dict(self.leases),
                "next_lease": max([6999, *self.leases]) + 1}

    async def restore(self, copy):
        """Comes back from a copy: later changes are lost, revisions and ids of leases are given out again."""
        async with self.changed:
            self.era += 1
            self.revision = copy["revision"]
            self.items = dict(copy["items"])
            now = time.monotonic()
            self.leases = {it: (ttl, now + ttl / 1000) for it, (ttl, _) in copy["leases"].items()}
            self.lease_ids = itertools.count(copy["next_lease"])
            self.history = [it for it in self.history if it["revision"] <= self.revision]
            self.changed.notify_all()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created_rev": created, "lease": lease}

    def put(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append(self.item(key))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    async def write(self, puts=(), removals=()):
        """Writes and removes keys in one revision, as an operator or a worker does."""
        async with self.changed:
            self.revision += 1
            for key, value in puts:
                self.put(key, value)
            for key in removals:
                self.remove(key)
            self.changed.notify_all()

    async def write_heartbeat(self, key, value):
        """Writes a worker's entry. It changes only if more than its sequence does."""
        def content(entry):
            return {field: it for field, it in json.loads(entry).items() if field != "sequence"}

        if key not in self.items or content(self.items[key][0]) != content(value):
            await self.write(puts=[(key, value)])

    def compact(self):
        self.compacted_revision = self.revision
        self.history.clear()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            expired = [it for it, (_, expires) in self.leases.items() if expires < now]
            for lease in expired:
                del self.leases[lease]
                await self.remove_lease_keys(lease)

    async def remove_lease_keys(self, lease):
        await self.write(removals=[key for key, it in self.items.items() if it[3] == lease])

    async def handle(self, request, writer):
        self.calls += 1
        if self.endless:
            try:
                await write_endlessly(writer, *ENDLESS_ANSWER)
            finally:
                self.endless_answers += 1
            return None
        if self.down:
            return self.with_era(make_response(503))
        parts = request.path.strip("/").split("/")
        if parts[0] == "kv-txn":
            fault = self.fault_of_write([row["key"] for row in json.loads(request.body)["writes"]])
            if fault is not None:
                if fault != "lost":
                    task = asyncio.get_running_loop().create_task(self.execute_late(request, fault))
                    self.late_tasks.add(task)
                    task.add_done_callback(self.late_tasks.discard)
                return None
        reply = await getattr(self, parts[0].replace("-", "_"))(request, parts[1:])
        if reply is None or (self.lose_answers and parts[0] == "kv-txn"):
            return None
        return self.with_era(reply)

    async def execute_late(self, request, delay_s):
        keys = [row["key"] for row in json.loads(request.body)["writes"]]
        before = {key: self.items[key][1] if key in self.items else 0 for key in keys}
        era = self.era
        await asyncio.sleep(delay_s)
        if era != self.era:
            return
        written_since = [key for key in keys if key in self.items and self.items[key][1] != before[key]]
        if (await self.kv_txn(request, [])).startswith(b"HTTP/1.1 200"):
            self.overwritten += written_since
        self.late_writes += keys

    def with_era(self, reply):
        status_line, rest = reply.split(b"\r\n", 1)
        return b"%s\r\nStore-Era: %d\r\n%s" % (status_line, self.era, rest)

    async def kv_key(self, request, _parts):
        key = request.query["key"]
        if key not in self.items:
            return make_response(404, {"store_revision": self.revision})
        return make_response(200, {**self.item(key), "store_revision": self.revision})

    async def kv_range(self, request, _parts):
        page = 5  # Small, so that reads need several pages.
        keys = sorted(key for key in self.items if key.startswith(request.query["path_prefix"])
                      and key > request.query.get("after", ""))
        return make_response(200, {"items": [self.item(key) for key in keys[:page]],
                            "more_pages": len(keys) > page, "store_revision": self.revision})

    async def kv_watch(self, request, _parts):
        after = int(request.query["after"])
        expires = time.monotonic() + int(request.query["wait_ms"]) / 1000
        era = self.era
        while True:
            if after < self.compacted_revision or after > self.revision or era != self.era:
                return make_response(410)
            events = [it for it in self.history if it["revision"] > after
                      and it["key"].startswith(request.query["path_prefix"])]
            remaining = expires - time.monotonic()
            if events or remaining <= 0 or self.down:
                return make_response(200, {"events": events, "store_revision": self.revision})
            if self.cuts_watches:
                return None
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), remaining)
                except asyncio.TimeoutError:
                    pass

    async def cut_watches(self, cut):
        async with self.changed:
            self.cuts_watches = cut
            self.changed.notify_all()

    async def kv_txn(self, request, _parts):
        body = json.loads(request.body)
        for row in body["expected"]:
            current_revision = self.items[row["key"]][1] if row["key"] in self.items else 0
            if current_revision != row["revision"]:
                return make_response(412, {"items": []})
        if any(row["lease"] and row["lease"] not in self.leases for row in body["writes"]):
            return make_response(404)
        async with self.changed:
            self.revision += 1
            for row in body["writes"]:
                self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
            for key in body["remove"]:
                self.remove(key)
            self.changed.notify_all()
        return make_response(200, {"revision": self.revision})

    async def kv_lease(self, request, _parts):
        ttl = json.loads(request.body)["ttl_ms"]
        lease = next(self.lease_ids)
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return make_response(200, {"lease": lease, "ttl_ms": ttl})

    async def kv_keep(self, _request, parts):
        lease = int(parts[0])
        if lease not in self.leases:
            return make_response(404, {})
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return make_response(200, {"ttl_ms": ttl})

    async def kv_lease_end(self, _request, parts):
        if self.leases.pop(int(parts[0]), None) is not None:
            await self.remove_lease_keys(int(parts[0]))
        return make_response(200, {})


class StoreView:
    """The store as one instance sees it: workers are at the ports of that instance's own links to them."""

    def __init__(self, store, links):
        self.store = store
        self.refuses = False  # Responds to every request of the instance with status 503.
        self.links = links  # By the worker's port.

    def translate(self, item):
        if not item["key"].startswith("servers/") or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        address, _, port = entry["address"].rpartition(":")
        if int(port) in self.links:
            entry["address"] = f"{address}:{self.links[int(port)].port}"
        return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}

    async def handle(self, request, writer):
        if self.refuses:
            return self.store.with_era(make_response(503))
        reply = await self.store.handle(request, writer)
        if self.refuses:  # A watch that waited.
            return self.store.with_era(make_response(503))
        if request.method != "GET" or reply is None:
            return reply
        head, _, body = reply.partition(b"\r\n\r\n")
        content = json.loads(body or b"{}")
        for rows in ("items", "events"):
            content[rows] = [self.translate(it) for it in content[rows]] if rows in content else []
        if "key" in content:
            content = self.translate(content)
        lines = [it for it in head.split(b"\r\n")[1:] if not it.lower().startswith(b"content-length")]
        body = json.dumps(content).encode()
        return b"\r\n".join([head.split(b"\r\n")[0], b"Content-Length: %d" % len(body), *lines]) + b"\r\n\r\n" + body


# What is no rest of a stream, whoever resumes it.
RESPONSES_TO_RESUMED = (
    "404", "404 chunked", "204", "302", "500", "500 chunked", "500 until close", "500 events", "200 json",
    "200 json chunked", "200 unstamped", "206", "200 empty until close", "503 not run", "no HTTP", "reset")


def response_to_resumed(how, headers):
    """A response that does not go on with the stream that was to be resumed; None resets the connection."""
    json_type = {"Content-Type": "application/json"}
    event_type = {"Content-Type": "text/event-stream"}
    text = b'{"error":"gone"}\n\n'

    def framed(status, fields, body, framing):
        lines = [f"HTTP/1.1 {status} Status"] + [f"{name}: {value}" for name, value in {**headers, **fields}.items()]
        if framing == "chunked":
            body = (b"%x\r\n%s\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
            lines.append("Transfer-Encoding: chunked")
        return "\r\n".join([*lines, "Connection: close"]).encode() + b"\r\n\r\n" + body

    return {
        "404": lambda: make_response(404, b"", headers),
        "404 chunked": lambda: framed(404, json_type, text, "chunked"),
        "204": lambda: framed(204, {}, b"", "none"),
        "302": lambda: make_response(302, b"moved", {**headers, "Location": "/elsewhere"}),
        "500": lambda: make_response(500, text, headers),
        "500 chunked": lambda: framed(500, json_type, text, "chunked"),
        "500 until close": lambda: framed(500, json_type, text, "close"),
        "500 events": lambda: framed(500, event_type, b"id: 5\ndata: no\n\n", "chunked"),
        "200 json": lambda: make_response(200, text, {**headers, **json_type}),
        "200 json chunked": lambda: framed(200, json_type, text, "chunked"),
        "200 unstamped": lambda: make_response(200, b"id: 5\ndata: no\n\n", event_type),
        "206": lambda: make_response(206, b"id: 5\ndata: no\n\n", {**headers, **event_type}),
        "200 empty until close": lambda: framed(200, event_type, b"", "close"),
        "503 not run": lambda: make_response(503, text, {**headers, "X-Not-Executed": "1"}),
        "no HTTP": lambda: b"550 mailbox unavailable\r\n\r\n",
        "reset": lambda: None,
        "200 empty": lambda: framed(200, event_type, b"", "chunked"),
    }[how]()


class FaultsByAttempt(dict):
    """Faults of a request's attempts in order, whichever worker gets them."""

    def pop(self, key, default=""):
        rest = self.get(key)
        return rest.pop(0) if rest else default


class Worker:
    """One worker. `faults` maps a request id to the fault that is injected into this request once."""

    def __init__(self, name, service, zone, port, stage=None):
        self.name, self.service, self.zone, self.port, self.stage = name, service, zone, port, stage
        self.version = "v1"  # Of its software.
        self.state = "ready"
        self.received = []  # All requests.
        self.executed = []  # Ids of executed requests.
        self.disconnected = []  # Ids of hanging requests whose connection the peer closed.
        self.orders = []
        self.delays_order = False  # The next order gets no response; it may be carried out later.
        self.delayed_order = None
        self.change_s = 0.0  # How long an order takes.
        self.changed_at = None  # When the last one was done.
        self.kv_handles = set()
        self.repeats_refusals = None  # How it writes refusals once more, see `handle`.
        self.last_refusal = None
        self.kept = set()  # Connections that have carried a request.
        self.handle_body = None  # Sent in place of a prompt handle.
        self.faults = {}
        self.born = int(time.time() * 1000)
        self.heartbeats = 0
        self.server = None
        self.closed_by_caller = []  # Endless faults that the caller ended.
        self.endless_pause_s = 0  # Between two pieces of an endless fault.
        self.endless_health = False  # Its health answer has no end.
        self.says_leaving = False  # In the head of each response, whatever its registration says.
        self.limit = None  # Requests a second, stated in the head of each response.
        self.arrivals = []  # Times of all requests.
        self.pause_s = None  # Rejects all requests and asks for this pause.
        self.deadly_part = None  # The process ends when it begins to generate for a prompt with this part.
        self.deadly_request = None  # (path, team, body) of a request that ends the process when it begins to run.
        self.restart_s = 1.0  # How long it is down then.
        self.registers = True
        self.crashes = []  # Times of these ends.
        self.writers = set()  # Open connections.
        self.pace_s = 0.01  # Between events.
        self.spoiler = None  # Draws which responses are spoiled, and how.
        self.spoiled_share = 0.0
        self.slots = 8

    def registration(self):
        self.heartbeats += 1
        it = {"service": self.service, "address": f"{LOOPBACK}:{self.port}", "zone": self.zone,
              "version": self.version, "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
              "sequence": self.heartbeats, "born": self.born}
        if self.stage:
            it["stage"] = self.stage
        return json.dumps(it).encode()

    async def send_heartbeats(self, store):
        while True:
            if self.registers and not store.down and self.server.is_serving():
                await store.write_heartbeat("servers/" + self.name, self.registration())
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request, writer):
        """With `repeats_refusals`, a refusal is written once more: "same_write" right behind itself, "idle" soon after
        it; on a connection that has carried another request, "before" as the first bytes after a request, or "during"
        its run. "nameless" copies do not bear the id of the request that was refused."""
        when, _, nameless = (self.repeats_refusals or "").partition(" ")
        earlier = self.last_refusal if writer in self.kept and when in ("before", "during") else None
        self.kept.add(writer)
        if earlier and when == "before":
            writer.write(earlier)
        elif earlier:
            asyncio.get_running_loop().call_later(0.02, writer.write, earlier)
            self.faults.setdefault(request.headers.get("x-request-id", ""), "pause")
        if self.spoiler is not None and request.path != "/health" and self.spoiler.random() < self.spoiled_share:
            reply = await spoiled_streams.spoil(self.spoiler, self.respond, request, writer)
        else:
            reply = await self.respond(request, writer)
        if when and reply and b"X-Not-Executed" in reply:
            lines = [it for it in reply.split(b"\r\n") if not (nameless and it.lower().startswith(b"x-request-id"))]
            copy = b"\r\n".join(lines)
            if when == "same_write":
                reply += copy
            elif when == "idle":
                asyncio.get_running_loop().call_later(0.02, writer.write, copy)
            else:
                self.last_refusal = copy
        for name, value in self.statements():
            if reply is not None and reply.startswith(b"HTTP/"):
                status_line, rest = reply.split(b"\r\n", 1)
                reply = b"%s\r\n%s: %s\r\n%s" % (status_line, name.encode(), str(value).encode(), rest)
        return reply

    def statements(self):
        """What it says about itself in the head of each response."""
        return ([("Server-Leaving", 1)] if self.says_leaving else []) + (
            [("Server-Limit", self.limit)] if self.limit is not None else [])

    async def send_endlessly(self, fault, writer, headers):
        """Sends bytes that are no response, or never the end of one, until the caller closes the connection."""
        def start(status="200 OK", own_headers=headers, **fields):
            lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in own_headers.items()]
            lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
            return "\r\n".join(lines).encode() + b"\r\n"

        head = start()
        events = start(Content_Type="text/event-stream") + b"\r\n"
        chunked = start(Transfer_Encoding="chunked") + b"\r\n"
        chunk = b"10000\r\n" + b"x" * 65536 + b"\r\n"
        other = {**headers, "X-Request-Id": "f" * 16}
        first, repeated = {
            "endless_status_line": lambda: (b"HTTP/1.1 200 ", b"x" * 1000),
            "endless_raw": lambda: (b"", b"\x00\xff" * 500),
            "endless_head": lambda: (b"HTTP/1.1 200 OK\r\nX-Noise: ", b"x" * 1000),
            "endless_fields": lambda: (head, b"X-Noise: " + b"x" * 500 + b"\r\n"),
            "endless_interim": lambda: (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
            "endless_body": lambda: (head + b"\r\n", b"x" * 65536),
            "endless_404": lambda: (start("404 Status") + b"\r\n", b"x" * 65536),
            "endless_421": lambda: (start("421 Status") + b"\r\n", b"x" * 65536),
            "endless_500": lambda: (start("500 Status") + b"\r\n", b"x" * 65536),
            "endless_503": lambda: (start("503 Status", X_Not_Executed="1") + b"\r\n", b"x" * 65536),
            "endless_length": lambda: (start(Content_Length="99999999999") + b"\r\n", b"x" * 65536),
            "endless_other_id": lambda: (start(own_headers=other) + b"\r\n", b"x" * 65536),
            "endless_no_id": lambda: (start(own_headers={}) + b"\r\n", b"x" * 65536),
            "endless_event": lambda: (head + b"Content-Type: text/event-stream\r\n\r\ndata: ", b"x" * 65536),
            "endless_comment": lambda: (events, b":" + b"x" * 1000 + b"\n"),
            "endless_comments": lambda: (events, b":\n\n" * 300),
            "endless_events": lambda: (events, (b"data: " + b"x" * 1000 + b"\n\n") * 60),
            "endless_chunks": lambda: (chunked, chunk),
            "endless_chunk_size": lambda: (chunked, b"0" * 1000),
            "endless_chunk_extension": lambda: (chunked + b"5;", b"x" * 1000),
            "endless_trailer": lambda: (chunked + b"0\r\n", b"X-Noise: " + b"x" * 500 + b"\r\n"),
        }[fault]()
        try:
            await write_endlessly(writer, first, repeated, self.endless_pause_s)
        finally:
            self.closed_by_caller.append(fault)

    async def crash(self):
        """Ends like a killed process: all connections are reset and new ones refused. Comes back as another
        process with the same id."""
        if not self.server.is_serving():
            return
        self.crashes.append(time.monotonic())
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.kv_handles.clear()
        await asyncio.sleep(self.restart_s)
        self.born = int(time.time() * 1000)
        self.server = await serve(self.port, self.handle, self.writers)

    def is_deadly(self, request):
        parts = [it.partition(":")[0] for it in request.headers.get("x-prompt-prefix", "").split(",")]
        if self.deadly_request == (request.path, request.headers.get("x-tenant-id"), request.body):
            return True
        return self.deadly_part is not None and self.deadly_part in parts

    def accept_order(self, order):
        if order.get("expected", len(self.orders)) != len(self.orders):
            return False
        self.orders.append(order)
        if self.change_s:
            asyncio.get_running_loop().call_later(self.change_s, self.change_stage, order["stage"])
        else:
            self.change_stage(order["stage"])
        return True

    def change_stage(self, stage):
        self.stage = stage
        self.changed_at = time.monotonic()

    async def respond(self, request, writer):
        if request.path == "/report":
            return make_response(200, {"stage": self.stage, "sequence": len(self.orders)})
        if request.path == "/order":
            if self.delays_order:
                self.delays_order = False
                self.delayed_order = json.loads(request.body)
                return None
            return make_response(202 if self.accept_order(json.loads(request.body)) else 409)
        if request.path.startswith("/kv-handle/"):
            self.kv_handles.discard(request.path.split("/")[-1])
            return make_response(200)
        if request.path == "/health" and self.endless_health:
            await self.send_endlessly("endless_body", writer, {"X-Instance-Id": self.name})
            return None
        if request.path == "/health":
            expected = request.headers.get("x-expect-instance", self.name)
            return make_response(200 if expected == self.name else 421, headers={"X-Instance-Id": self.name})
        self.received.append(request)
        self.arrivals.append(time.monotonic())
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance") != self.name:
            return make_response(421, headers={"X-Instance-Id": self.name})
        fault = self.faults.pop(request_id, "")
        if self.pause_s is not None:
            return make_response(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id,
                                               "Retry-After": str(self.pause_s)})
        if fault == "reject":
            return make_response(503, headers={"X-Not-Executed": "1", "X-Request-Id": request_id})
        if request.headers.get("x-serving-stage") == "prefill":
            while fault == "mute_reading" and not writer.transport.is_closing():
                await asyncio.sleep(0.01)
            if fault == "slow_reading":
                await asyncio.sleep(0.3)
            if self.handle_body is not None:
                return make_response(200, self.handle_body)
            self.kv_handles.add("h" + request_id)
            return make_response(200, {"kv_handle": "h" + request_id, "tokens": 1, "version": 1})
        self.executed.append(request_id)
        if self.is_deadly(request):
            asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(0)
            return None
        if fault == "reset":
            return None
        if fault in ("slow", "pause"):
            await asyncio.sleep({"slow": 1.0, "pause": 0.06}[fault])
        if fault.startswith("after "):
            await asyncio.sleep(float(fault.split()[1]))
        if fault == "hang":
            while not writer.transport.is_closing():
                await asyncio.sleep(0.01)
            self.disconnected.append(request_id)
            return None
        headers = {"X-Request-Id": request_id, "X-Response-Stamp": f"{self.name}.{request_id}"}
        if fault.startswith("head "):  # Ends after this share of its head.
            head = make_response(200, b"x", headers).partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
            writer.write(head[:int(len(head) * float(fault.split()[1]))])
            await writer.drain()
            writer.close()
            return b""
        if fault.startswith("endless"):
            await self.send_endlessly(fault, writer, headers)
            return None
        if fault == "error":
            return make_response(500, b"broken", headers)
        if fault.startswith("bytes "):  # A sound response of this size.
            return make_response(200, b"x" * int(fault.split()[1]), headers)
        if fault.startswith("resumed "):  # The first run is cut; the run that resumes it gets this response.
            how = fault.partition(" ")[2]
            if "last-event-id" in request.headers:
                reply = response_to_resumed(how, headers)
                if reply is not None and (b"Connection: close" in reply or how == "no HTTP"):
                    writer.write(reply)
                    await writer.drain()
                    writer.close()
                    return b""
                return reply
            fault = "cut"
        if fault == "no HTTP":
            writer.write(response_to_resumed(fault, headers))
            await writer.drain()
            writer.close()
            return b""
        if "x-prompt-prefix" in request.headers:
            return await self.stream(request, writer, headers, fault)
        body = json.dumps({"path": request.target, "size": len(request.body), "worker": self.name})
        return make_response(200, body.encode(), headers)

    async def stream(self, request, writer, headers, fault):
        """Streams ten events. With an `unframed` fault the response has neither a length nor chunks and
        ends with its connection. `spoiled_streams` has those that begin with "spoiled"."""
        unframed = fault.startswith(("unframed", "spoiled unframed"))
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                 "Connection: close" if unframed else "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in [*headers.items(), *self.statements()]]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0") or "0") + 1
        if fault.startswith("spoiled "):
            return await spoiled_streams.send(fault.partition(" ")[2], writer, first, self.version)
        # The event that is truncated; the response ends there.
        truncated = {"cut": 5, "chunked_end_inside": 5, "unframed_end_inside": 5, "unframed_reset_inside": 5,
                     "unframed_end_inside_first": first, "unframed_end_empty": first}.get(fault)
        for event_id in range(first, 11):
            event = spoiled_streams.event(event_id, self.version)
            while fault == "trickle" and event_id == 5 and not writer.transport.is_closing():
                writer.write(b"1\r\n:\r\n")  # A comment that does not end.
                await asyncio.sleep(0.2)
            if event_id == truncated:
                event = b"" if fault == "unframed_end_empty" else event[:7]
            if event:
                writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if event_id == truncated:
                break
            await asyncio.sleep(0.6 if fault == "slow_events" else self.pace_s)
        if fault == "unframed_reset_inside":
            await asyncio.sleep(0.02)  # The bytes before the reset are read first.
        if fault in ("cut", "unframed_reset_inside"):
            return None
        if unframed:
            writer.close()
            return b""
        return b"0\r\n\r\n"


class Cloud:
    """Receives and records usage reports and scaling orders."""

    def __init__(self):
        self.usage = []
        self.scale = []
        self.endless = False  # No answer has an end.
        self.endless_answers = 0  # Those that the caller ended.

    async def handle(self, request, writer):
        if self.endless:
            try:
                await write_endlessly(writer, *ENDLESS_ANSWER)
            finally:
                self.endless_answers += 1
            return None
        call = {**json.loads(request.body), "holder": request.headers["x-duty-holder"],
                "fence": int(request.headers["x-fencing-token"])}
        (self.usage if request.path == "/usage" else self.scale).append(call)
        return make_response(200, {})


class Platform:
    """Store, cloud interface and workers, on an event loop in a thread of its own."""

    def __init__(self, store_port, cloud_port):
        self.store_port, self.cloud_port = store_port, cloud_port
        self.loop = asyncio.new_event_loop()
        self.workers = {}
        self.views = []  # Servers of `StoreView`s.
        self.tasks = {}
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.run(self.start())

    def run(self, coroutine):
        """Runs a coroutine on the event loop and waits for its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def start(self):
        self.store = Store()
        self.cloud = Cloud()
        self.store_server = await serve(self.store_port, self.store.handle)
        self.cloud_server = await serve(self.cloud_port, self.cloud.handle)
        self.expiry = self.loop.create_task(self.store.expire_leases())

    def add_worker(self, name, service, zone, port, stage=None, version="v1"):
        worker = Worker(name, service, zone, port, stage)
        worker.version = version

        async def start():
            worker.server = await serve(port, worker.handle, worker.writers)
            self.tasks[name] = self.loop.create_task(worker.send_heartbeats(self.store))

        self.run(start())
        self.workers[name] = worker
        return worker

    def add_store_view(self, port, links):
        """Serves the store on `port` with the workers' addresses replaced by those of `links`."""
        view = StoreView(self.store, links)
        self.views.append(self.run(serve(port, view.handle)))
        return view

    def remove_worker(self, name):
        """The worker ends: its connections are reset and its registration is removed."""
        worker = self.workers.pop(name)

        async def end():
            self.tasks.pop(name).cancel()
            worker.server.close()
            for writer in list(worker.writers):
                writer.transport.abort()
            await self.store.write(removals=["servers/" + name])

        self.run(end())
        return worker

    def write(self, key, value):
        self.run(self.store.write(puts=[(key, json.dumps(value).encode())]))

    def put_config(self, config):
        self.write("op/config", config)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", maxsplit=1)[0])
    parser.add_argument("--store", type=int, required=True, help="port of the store")
    parser.add_argument("--cloud", type=int, required=True, help="port of the cloud interface")
    parser.add_argument("--worker", action="append", default=[], metavar="NAME:SERVICE:ZONE:PORT[:STAGE]")
    parser.add_argument("--config", help="JSON file with the initial configuration")
    args = parser.parse_args()
    platform = Platform(args.store, args.cloud)
    for it in args.worker:
        name, service, zone, port, *stage = it.split(":")
        platform.add_worker(name, service, zone, int(port), *stage)
    if args.config:
        with open(args.config, encoding="utf-8") as file:
            platform.put_config(json.load(file))
    print("listening", flush=True)
    platform.thread.join()


if __name__ == "__main__":
    main()
