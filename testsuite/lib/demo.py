"""Starts a small system and sends one streamed request and one service call; used by tools/demo."""

import argparse
import http.client
import json
import signal
import sys

import processes
import small_system


def parse_arguments():
    parser = argparse.ArgumentParser(prog="tools/demo", description=__doc__)
    parser.add_argument("build", help=argparse.SUPPRESS)
    parser.add_argument("--stay", action="store_true",
                        help="print the addresses and keys, then run until Ctrl-C")
    parser.add_argument("--port-base", type=int, default=None,
                        help="first of 20 ports to use; by default free ports are chosen")
    return parser.parse_args()


def send_streamed_request(port, key):
    """Sends one streamed chat request; returns the text and the usage of its response."""
    connection = http.client.HTTPConnection(processes.LOOPBACK, port, timeout=60)
    body = {"model": small_system.MODEL, "stream": True, "max_tokens": 12,
            "stream_options": {"include_usage": True},
            "messages": [{"role": "user", "content": "Who is signed in at the breakfast club today?"}]}
    connection.request("POST", "/v1/chat/completions", json.dumps(body),
                       {"Authorization": f"Bearer {key}", "Content-Type": "application/json"})
    reply = connection.getresponse()
    if reply.status != 200:
        raise processes.Failure(f"chat request failed with status {reply.status}: {reply.read().decode()}")
    text, usage, done = "", None, False
    for line in reply:
        line = line.decode().strip()
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            chunk = json.loads(line[len("data: "):])
            usage = chunk.get("usage") or usage
            for choice in chunk.get("choices", []):
                text += choice.get("delta", {}).get("content") or ""
    connection.close()
    if not done:
        raise processes.Failure("the stream ended without [DONE]")
    return text, usage


def call_service(port, key):
    """Sends a call that must not be repeated to the plain service."""
    reply = processes.call(port, "POST", "/services/subsidies/payments", {"child": 7, "amount": 12},
                           {"Authorization": f"Bearer {key}", "Idempotency-Key": "demo-payment-1"})
    if reply.status != 200:
        raise processes.Failure(f"service call failed with status {reply.status}: {reply.body}")
    return reply.body


def main():
    args = parse_arguments()
    system = processes.System(args.build, args.port_base)
    try:
        key = small_system.start(system)
        first = system.entries["entry-1"]
        if args.stay:
            print(f"CALLER_URL=http://{processes.LOOPBACK}:{first['caller']}")
            print(f"OPERATOR_URL=http://{processes.LOOPBACK}:{first['operator']}")
            print(f"KEY={key}")
            print(f"OPERATOR_KEY={system.operator_key}")
            print(f"MODEL={small_system.MODEL}", flush=True)
            # Blocked only after all processes have started, since they would inherit the signal mask.
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM})
            signal.sigwait({signal.SIGINT, signal.SIGTERM})
            return 0
        processes.wait_until("the model to be offered", lambda: small_system.MODEL in processes.call(
            first["caller"], "GET", "/v1/models", headers={"Authorization": f"Bearer {key}"}).body)
        text, usage = send_streamed_request(first["caller"], key)
        print(f"streamed response: {text}\nusage: {json.dumps(usage)}")
        print(f"service response: {call_service(first['caller'], key)}")
        return 0
    except processes.Failure as ec:
        print(f"demo failed: {ec}", file=sys.stderr)
        for name in system.processes:
            print(f"--- {name}\n{system.read_log(name)[-2000:]}", file=sys.stderr)
        return 1
    finally:
        system.stop()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    sys.exit(main())
