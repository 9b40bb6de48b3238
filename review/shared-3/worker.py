"""A worker of the platform, as one process: a model worker that streams events, or a plain one.

It follows the users' pages (PROTOCOL.md: Requests, Answers, Workers, Prefill and decode). What it does with a request is
written to its log, one JSON object a line. Only the standard library is needed.

A plain request's body may be a JSON object that says how long it takes (`work_ms`) and with which status its run ends
(`status`); without one the run takes 20 ms and succeeds.
"""

import argparse
import asyncio
import json
import time

STREAM_ROUTE_FIELD = "x-prompt-prefix"


class Worker:
    def __init__(self, args):
        self.args = args
        self.log = open(args.log, "a", encoding="utf-8", buffering=1)
        self.stage = args.stage
        self.orders = 0
        self.slots = asyncio.Semaphore(args.slots)
        self.waiting = 0
        self.streams = 0
        self.handles = set()
        self.signature = 0

    def note(self, what, request_id, **more):
        self.log.write(json.dumps({"at": time.time(), "worker": self.args.id, "what": what, "request": request_id, **more}) + "\n")

    @staticmethod
    async def read_request(reader):
        try:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            fields = {}
            for line in lines[1:]:
                if line:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
            return method, target, fields, await reader.readexactly(int(fields.get("content-length", "0")))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    @staticmethod
    def answer(status, fields=None, body=b""):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def connection(self, reader, writer):
        """One request at a time. The run of a request ends when its connection closes."""
        pending = None
        try:
            while True:
                request = await (pending or self.read_request(reader))
                pending = None
                if request is None:
                    return
                run = asyncio.ensure_future(self.respond(request, writer))
                pending = asyncio.ensure_future(self.read_request(reader))
                await asyncio.wait({run, pending}, return_when=asyncio.FIRST_COMPLETED)
                if not run.done() and pending.done() and pending.result() is None:
                    run.cancel()
                    self.note("connection closed by the system", request[2].get("x-request-id", ""))
                    return
                reply = await run
                if reply is not None:
                    writer.write(reply)
                    await writer.drain()
                if reply is None or b"\r\nConnection: close" in reply:
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if pending is not None:
                pending.cancel()
            writer.close()

    async def respond(self, request, writer):
        method, target, fields, body = request
        path = target.partition("?")[0]
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self.args.id) != self.args.id:
            return self.answer(421, {"X-Instance-Id": self.args.id})
        if path == "/health":
            return self.answer(200, {"X-Instance-Id": self.args.id})
        if path == "/report":
            report = {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "sequence": self.orders, "queued": self.waiting, "active": self.streams, "kv_used": 0,
                      "kv_total": 100000, "handles": len(self.handles)}
            return self.answer(200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        if path == "/order":
            order = json.loads(body)
            if order.get("expected", self.orders) != self.orders:
                return self.answer(409)
            self.orders += 1
            self.stage = order.get("stage", self.stage)
            return self.answer(202)
        if path.startswith("/kv-handle/"):
            self.handles.discard(path.rpartition("/")[2])
            return self.answer(200)
        if not request_id:
            return self.answer(400, {"X-Not-Executed": "1"})
        own = {"X-Request-Id": request_id}
        if STREAM_ROUTE_FIELD in fields:
            prefill = fields.get("x-serving-stage") == "prefill"
            if prefill != (self.stage == "prefill"):
                return self.answer(421, {**own, "X-Not-Executed": "1"})
            if prefill:
                handle = f"h{request_id}"
                self.handles.add(handle)
                return self.answer(200, {**own, "Content-Type": "application/json"}, json.dumps(
                    {"kv_handle": handle, "tokens": 1000, "version": 1}).encode())
            return await self.stream(fields, own, writer)
        return await self.plain(fields, own, body)

    async def plain(self, fields, own, body):
        request_id = own["X-Request-Id"]
        if self.slots.locked() and self.waiting >= self.args.queue:
            self.note("rejected, full", request_id)
            return self.answer(503, {**own, "X-Not-Executed": "1"})
        wanted = json.loads(body) if body.startswith(b"{") else {}
        limit = time.monotonic() + int(fields.get("x-deadline-ms", "60000")) / 1000
        self.note("queued", request_id)
        self.waiting += 1
        try:
            await asyncio.wait_for(self.slots.acquire(), max(limit - time.monotonic(), 0.001))
        except asyncio.TimeoutError:
            self.note("its deadline passed in the queue", request_id)
            return self.answer(503, {**own, "X-Not-Executed": "1"})
        finally:
            self.waiting -= 1
        try:
            self.note("run begins", request_id)
            stamp = {**own, "X-Response-Stamp": f"{self.args.id}.{request_id}"}
            work_s = wanted.get("work_ms", 20) / 1000
            if time.monotonic() + work_s > limit:
                await asyncio.sleep(max(limit - time.monotonic(), 0))
                return self.answer(504, stamp, b"deadline")
            await asyncio.sleep(work_s)
            status = wanted.get("status", 200)
            self.note("run ends", request_id, status=status)
            return self.answer(status, stamp, b"done by " + self.args.id.encode())
        finally:
            self.slots.release()

    async def stream(self, fields, own, writer):
        """Each event has one token, or several while more than `--busy` streams run; its id is the number of its last
        token."""
        request_id = own["X-Request-Id"]
        if self.streams >= self.args.slots:
            return self.answer(503, {**own, "X-Not-Executed": "1"})
        first = int(fields.get("last-event-id") or 0) + 1
        tokens = int(fields["x-token-usage"].partition(",")[2])
        self.note("run begins", request_id, first=first)
        self.streams += 1
        try:
            if first > 1:
                await asyncio.sleep(self.args.reread_ms / 1000)
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"X-Response-Stamp: {self.args.id}.{request_id}",
                     "Connection: close" if self.args.no_length else "Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in own.items()]
            head = "\r\n".join(lines).encode() + b"\r\n\r\n"
            token = first
            while token <= tokens:
                await asyncio.sleep(self.args.pace_ms / 1000)
                last = token
                if self.args.busy and self.streams > self.args.busy and token > 2:
                    last = min(token + 1, tokens)
                text = " ".join(f"token-{n}" for n in range(token, last + 1))
                event = f"id: {last}\ndata: {text}\n\n".encode()
                writer.write(head + (event if self.args.no_length else b"%x\r\n%s\r\n" % (len(event), event)))
                await writer.drain()
                head = b""
                token = last + 1
            self.note("run ends", request_id, status=200)
            if self.args.no_length:
                writer.write(head)
                return None
            return head + b"0\r\n\r\n"
        finally:
            self.streams -= 1


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--stage", default="")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--pace-ms", type=float, default=20)
    parser.add_argument("--no-length", action="store_true", help="streams have neither a length nor chunks")
    parser.add_argument("--reread-ms", type=float, default=0, help="time to read the prompt of a stream that goes on here")
    parser.add_argument("--busy", type=int, default=0, help="streams above which an event has two tokens; 0: never")
    worker = Worker(parser.parse_args())
    server = await asyncio.start_server(worker.connection, "127.0.0.1", worker.args.port)
    async with server:
        await server.serve_forever()


asyncio.run(main())
