"""Streams that a faulty engine spoils, as the writes that make them up; and a relay process in front of an engine.

The relay stands for the engine's process where that must end for real: `python3 spoiled_streams.py PORT TARGET`.
Only the standard library is needed.
"""

import asyncio
import os
import signal
import subprocess
import sys

import faulty_link
import processes

LAST_EVENT = 10
PAUSE_S = 0.01  # Between writes, so that each is read by itself.
LATER_S = 0.03
SLOW_S = 0.8
LONGEST_HOLD_S = 20.0
CLOSE, RESET, HOLD = "close", "reset", "hold"  # How a stream ends; otherwise its connection is kept.
COMMENT = b": ok\n\n"
LAST_CHUNK = b"0\r\n\r\n"
GARBAGE = b"\x00\x17\xff id: 5\n\nzz\r\n"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"


def event(number, version, event_id=None):
    """`event_id` may be another than the number, or "" for none."""
    line = "" if event_id == "" else f"id: {event_id or number}\n"
    return f"{line}data: token {number} of {version}\n\n".encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Parts:
    """The chunks of a stream around the event that is spoiled: the fourth, or the second of a run that resumes it."""

    def __init__(self, first, version):
        at = 4 if first < 4 else min(first + 1, LAST_EVENT)

        def chunks(begin, end):
            return [chunk(event(n, version)) for n in range(begin, end + 1)]

        self.at, self.version = at, version
        self.before, self.up_to, self.rest = chunks(first, at - 1), chunks(first, at), chunks(at + 1, LAST_EVENT)
        self.all = chunks(first, LAST_EVENT)
        self.skipped = chunks(at + 3, LAST_EVENT)
        self.unframed = [event(n, version) for n in range(first, at + 1)]
        self.first = first

    def with_id(self, event_id):
        return [*self.before, chunk(event(self.at, self.version, event_id)), *self.rest, LAST_CHUNK]

    def first_with_id(self, event_id):
        """The first event of the run has another id."""
        return [chunk(event(self.first, self.version, event_id)), *self.all[1:], LAST_CHUNK]

    def last_with_id(self, event_id):
        return [*self.all[:-1], chunk(event(LAST_EVENT, self.version, event_id)), LAST_CHUNK]

    def joined(self):
        """No blank line between the spoiled event and the next."""
        return [*self.before, chunk(event(self.at, self.version)[:-1]), *self.rest, LAST_CHUNK]

    def half_event(self):
        return [chunk(event(self.first, self.version)[:-4]), RESET]

    def half_event_and_hold(self):
        return [chunk(event(self.first, self.version)[:-4]), HOLD]

    def from_one(self):
        """A run that does not go on after the last event, but begins anew, and ends early."""
        return [chunk(event(n, self.version)) for n in (1, 2)] + [LAST_CHUNK]

    def slow(self):
        return [step for it in self.all for step in (it, SLOW_S)] + [LAST_CHUNK]

    def zero_size(self):
        spoiled = b"0\r\n" + event(self.at + 1, self.version) + b"\r\n"
        return [*self.up_to, spoiled, *self.rest[1:], LAST_CHUNK]

    def more_chunks(self):
        return b"".join([*self.rest, LAST_CHUNK])


# A number is a pause in seconds.
SPOILINGS = {
    "another id": lambda it: it.with_id("97"),
    "no id": lambda it: it.with_id(""),
    "id no number": lambda it: it.with_id(f"x{it.at}"),
    "event twice": lambda it: [*it.up_to, *it.up_to[-1:], *it.rest, LAST_CHUNK],
    "events missing": lambda it: [*it.up_to, *it.skipped, LAST_CHUNK],
    "zero size": Parts.zero_size,
    "wrong chunk end": lambda it: [*it.before, *(row[:-2] + b"XX" for row in it.up_to[-1:]), *it.rest, LAST_CHUNK],
    "more chunks at once": lambda it: [*it.up_to, LAST_CHUNK + it.more_chunks()],
    "more chunks later": lambda it: [*it.up_to, LAST_CHUNK, LATER_S, it.more_chunks()],
    "garbage at once": lambda it: [*it.up_to, LAST_CHUNK + GARBAGE],
    "garbage later": lambda it: [*it.up_to, LAST_CHUNK, LATER_S, GARBAGE],
    "response at once": lambda it: [*it.up_to, LAST_CHUNK + OTHER_RESPONSE],
    "response later": lambda it: [*it.up_to, LAST_CHUNK, LATER_S, OTHER_RESPONSE],
    "reset at once": lambda it: [*it.up_to, LAST_CHUNK, RESET],
    "reset later": lambda it: [*it.up_to, LAST_CHUNK, LATER_S, RESET],
    "last chunk early": lambda it: [*it.up_to, LAST_CHUNK],
    "unframed close early": lambda it: [*it.unframed, CLOSE],
    "unframed hold": lambda it: [*it.unframed, HOLD],
    "hold": lambda it: [*it.up_to, HOLD],
    "hold after 2": lambda it: [*it.up_to[:2], HOLD],
    "last chunk missing": lambda it: [*it.all, CLOSE],
    "whole and a response": lambda it: [*it.all, LAST_CHUNK + OTHER_RESPONSE],
    "empty": lambda it: [LAST_CHUNK],
    "cut": lambda it: [*it.up_to, RESET],
    "first id 97": lambda it: it.first_with_id(97),
    "first event missing": lambda it: [*it.all[1:], LAST_CHUNK],
    "last id 9": lambda it: it.last_with_id(9),
    "next id": lambda it: it.with_id(it.at + 1),
    "earlier id": lambda it: it.with_id(it.at - 1),
    "blank line missing": Parts.joined,
    "half event": Parts.half_event,
    "half event and hold": Parts.half_event_and_hold,
    "from one": Parts.from_one,
    "slow": Parts.slow,
    "unframed comment": lambda it: [COMMENT, CLOSE],
    "comment and reset": lambda it: [chunk(COMMENT), RESET],
    "unframed whole": lambda it: [*(event(n, it.version) for n in range(it.first, LAST_EVENT + 1)), CLOSE],
}
# Told from a whole stream by their bytes alone, at an instance that has seen no other stream.
TOLD = ("event twice", "zero size", "wrong chunk end", "more chunks at once", "last chunk missing",
        "whole and a response", "cut")


async def send(how, writer, first, version):
    """Sends the body of a stream from its event `first` on; its head is sent. Returns what `platform_standin.serve`
    writes then."""
    pause_s = 0.0
    for step in SPOILINGS[how](Parts(first, version)):
        if isinstance(step, float):
            await asyncio.sleep(step)
            pause_s = 0.0
        elif step == HOLD:
            for _ in range(int(LONGEST_HOLD_S / PAUSE_S)):
                if not writer.transport.is_closing():
                    await asyncio.sleep(PAUSE_S)
            return None
        elif step == RESET:
            faulty_link.reset_connection(writer)
            return None
        elif step == CLOSE:
            writer.close()
        else:
            await asyncio.sleep(pause_s)
            writer.write(step)
            await writer.drain()
            pause_s = PAUSE_S
    return b""


class TruncatingWriter:
    """Passes on the first `left` bytes of a response, then ends its connection, by a reset or cleanly."""

    def __init__(self, writer, left, reset):
        self.writer, self.transport, self.left, self.reset = writer, writer.transport, left, reset

    def write(self, data):
        if not self.transport.is_closing():
            self.writer.write(data[:self.left])
            self.left -= min(self.left, len(data))
            if self.left == 0 and self.reset:
                faulty_link.reset_connection(self.writer)
            elif self.left == 0:
                self.writer.close()

    async def drain(self):
        await self.writer.drain()

    def close(self):
        self.writer.close()


async def spoil(rng, respond, request, writer):
    """Spoils any response at a place that `rng` draws: truncates it, sends bytes that are no response in its place, or
    more bytes behind it. `respond(request, writer)` sends the response."""
    way = rng.choice(("truncate", "truncate", "no response", "more bytes"))
    if way == "no response":
        writer.write(GARBAGE + b"\r\n\r\n")
        writer.close()
        return b""
    if way == "more bytes":
        reply = await respond(request, writer)
        return reply and reply + rng.choice((GARBAGE, OTHER_RESPONSE, chunk(b"data: no\n\n"), LAST_CHUNK))
    short = TruncatingWriter(writer, rng.randrange(1, 700), rng.random() < 0.5)
    reply = await respond(request, short)
    if reply:
        short.write(reply)
    return None if reply is None else b""


class RelayProcess:
    """A process in front of a worker, which registers the relay's port. Killed, it ends its connections as the kernel
    ends those of any process: cleanly where all bytes have been read."""

    def __init__(self, worker):
        self.target = worker.port
        self.port = worker.port = processes.free_port()
        self.process = None
        self.start()

    def start(self):
        self.process = subprocess.Popen([sys.executable, __file__, str(self.port), str(self.target)],
                                        stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.process.stdout.readline()

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()


async def relay(port, target):
    async def connection(reader, writer):
        try:
            other_reader, other_writer = await asyncio.open_connection(processes.LOOPBACK, target)
        except OSError:
            faulty_link.reset_connection(writer)
            return

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.close()
            except ConnectionError:
                faulty_link.reset_connection(sink)

        await asyncio.gather(pump(reader, other_writer), pump(other_reader, writer))

    server = await asyncio.start_server(connection, processes.LOOPBACK, port)
    # Its input ends with the process that started it.
    asyncio.get_running_loop().add_reader(sys.stdin, lambda: os._exit(0))
    print("listening", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(relay(int(sys.argv[1]), int(sys.argv[2])))
