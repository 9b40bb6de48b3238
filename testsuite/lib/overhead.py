"""Measures the overhead of an entry instance over direct requests to an engine; used by tools/overhead.

Prints the time to the first token of direct requests and of requests through an entry instance,
which alternate in one run, and the instance's processor time per request and per token and its
memory with open streams.
"""

import argparse
import http.client
import json
import os
import pathlib
import statistics
import threading
import time

import processes
import small_system
import streaming

MILLIS = 1000.0
MICROS = 1e6
ENGINE_ARGS = ("--prefill-rate", "1000000", "--decode-rate", "50", "--slots", "512", "--blocks", "100000")


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/overhead", description=__doc__)
    parser.add_argument("build", help=argparse.SUPPRESS)
    parser.add_argument("--pairs", type=int, default=200,
                        help="number of requests for the first token, direct and through the instance")
    parser.add_argument("--streams", default="16,32,64,128,256",
                        help="numbers of open streams to measure, separated by commas")
    parser.add_argument("--tokens", type=int, default=400, help="tokens of each stream")
    return parser.parse_args()


def time_to_first_token(port, headers, number):
    """Returns the seconds from the request to its first event."""
    body = json.dumps(streaming.chat_body(small_system.MODEL, f"first token {number}", 1))
    connection = http.client.HTTPConnection(processes.LOOPBACK, port, timeout=30)
    start = time.perf_counter()
    connection.request("POST", streaming.CHAT, body, {"Content-Type": "application/json", **headers})
    reply = connection.getresponse()
    reply.readline()
    elapsed = time.perf_counter() - start
    reply.read()
    connection.close()
    if reply.status != 200:
        raise processes.Failure(f"request failed with status {reply.status}")
    return elapsed


class Usage:
    """Processor time in seconds and resident memory in bytes of a process, from /proc."""

    def __init__(self, process):
        stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        self.processor = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
        self.memory = int(stat[21]) * os.sysconf("SC_PAGE_SIZE")


def measure_first_token(system, key, pairs):
    direct, via_entry = [], []
    for number in range(pairs):
        direct.append(time_to_first_token(system.engines["engine-1"], {}, number))
        via_entry.append(time_to_first_token(system.entries["entry-1"]["caller"], streaming.bearer(key), number))
    for name, times in (("direct", direct), ("through an entry instance", via_entry)):
        quantiles = statistics.quantiles(times, n=20)
        print(
            f"first token {name}: p50 {statistics.median(times) * MILLIS:.2f} ms, p95 {quantiles[18] * MILLIS:.2f} ms")
    print(f"added at p50: {(statistics.median(via_entry) - statistics.median(direct)) * MILLIS:.2f} ms")


def measure_requests(system, key, count):
    """Prints the processor time of the entry instance per request of one token."""
    entry = system.processes["entry-1"]
    before = Usage(entry)
    for number in range(count):
        time_to_first_token(system.entries["entry-1"]["caller"], streaming.bearer(key), number)
    used = Usage(entry).processor - before.processor
    print(f"processor time per request of one token: {used / count * MICROS:.0f} us ({count} requests)")


def measure_streams(system, key, stream_count, tokens):
    entry = system.processes["entry-1"]
    port = system.entries["entry-1"]["caller"]
    idle = Usage(entry)
    streams = []

    def open_stream(number):
        streams.append(streaming.Stream(port, key, small_system.MODEL, f"stream {stream_count} {number}", tokens,
                                        600_000))

    openers = [threading.Thread(target=open_stream, args=(n,)) for n in range(stream_count)]
    for it in openers:
        it.start()
    for it in openers:
        it.join()
    if len(streams) != stream_count:
        raise processes.Failure(f"{len(streams)} of {stream_count} streams opened")
    loaded = Usage(entry)
    readers = [threading.Thread(target=it.read_all) for it in streams]
    for it in readers:
        it.start()
    for it in readers:
        it.join()
    if not all(it.done and it.error is None for it in streams):
        raise processes.Failure("a stream ended without [DONE] or with an error")
    for it in streams:
        it.close()
    used = Usage(entry).processor - idle.processor
    print(f"open streams {stream_count}: processor time per token {used / (stream_count * tokens) * MICROS:.1f} us, "
          f"memory {loaded.memory / 2**20:.1f} MB (idle {idle.memory / 2**20:.1f} MB)", flush=True)


def main():
    arguments = parse_arguments()
    system = processes.System(arguments.build)
    try:
        system.start_platform()
        zone, region = small_system.ZONES[0]
        system.start_engine("engine-1", zone, region, small_system.MODEL, *ENGINE_ARGS)
        system.start_entry("entry-1", zone, region)
        system.wait_ready()
        system.apply(json.loads(small_system.SAMPLE.read_text()))
        key = system.issue_key("overhead", small_system.TEAM)
        streaming.wait_until_offered(system, key, small_system.MODEL)
        measure_first_token(system, key, arguments.pairs)
        measure_requests(system, key, arguments.pairs)
        for stream_count in arguments.streams.split(","):
            measure_streams(system, key, int(stream_count), arguments.tokens)
    finally:
        system.stop()


if __name__ == "__main__":
    main()
