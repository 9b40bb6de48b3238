"""A machine that others follow the store through is partitioned from the store; meanwhile a worker leaves without saying so.
The followers, which reach the store themselves, go on sending it requests."""

import json
import pathlib
import re
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import deployed
import faulty_link
import platform_standin
from deployed import BOUNDS, TROUBLE, processes

INSTANCES = 7
ROUNDS = 6
CUT_S = 5.5
platform_standin.HEARTBEAT_S = 1.2  # As the settings say.
DRAIN_S = BOUNDS["drain_ms"] / 1000


def relay_of(system, name):
    lines = re.findall(r"E703 relay_chosen relay=(\S+)", system.system.read_log(name))
    return name if not lines or lines[-1] == "self" else lines[-1]


def follows_a_peer(system, name):
    lines = re.findall(r"E803 store_followed by=(\S+)", system.system.read_log(name))
    return bool(lines) and lines[-1] == "peer"


def settled(system):
    followers = [it for it in system.ports if relay_of(system, it) != it]
    return len(followers) == INSTANCES - 3 and all(follows_a_peer(system, it) for it in followers)


def report_warming(worker):
    """The worker has just started: with each heartbeat it writes how much longer it remains slow."""
    started, plain = time.monotonic(), worker.registration

    def registration():
        left = max(60_000 - int((time.monotonic() - started) * 1000), 0)
        return json.dumps({**json.loads(plain()), "cold_remaining_ms": left}).encode()

    worker.registration = registration


def send_requests(system, entry, sent, stopped):
    while not stopped.is_set():
        answer = system.send("read", entry=entry, timeout_s=5)
        sent[answer.request_id] = (entry, answer.status)
        time.sleep(0.02)


def play(system, links, record, number):
    """One partition. Returns the requests that reached the worker later than the bound."""
    processes.wait_until("followers of relays", lambda: settled(system))
    time.sleep(BOUNDS["contact_ms"] / 1000 + 0.5)  # All machines are in touch.
    name = f"leaving-{number}"
    worker = system.platform.add_worker(name, "app", "z-1", processes.free_port())
    followed = {it: relay_of(system, it) for it in system.ports if relay_of(system, it) != it}
    relay = max(set(followed.values()), key=list(followed.values()).count)
    followers = [it for it in followed if followed[it] == relay]
    sent, stopped = {}, threading.Event()
    clients = [threading.Thread(target=send_requests, args=(system, it, sent, stopped)) for it in followers]
    for it in clients:
        it.start()
    time.sleep(2 + 0.37 * number)  # The partition comes at another time of the relay's calls each time.

    async def cut():
        links[relay].cut("hang")

    async def leave():  # It never reports `draining`: its entry is removed, and it goes on serving.
        system.platform.tasks.pop(name).cancel()
        await system.platform.store.write(removals=["servers/" + name])

    if TROUBLE:
        system.platform.run(cut())
        record(f"round {number}: {relay} is partitioned from the store for {CUT_S} s; {followers} follow it and are not")
    begun = time.monotonic()
    time.sleep(0.1)
    system.platform.run(leave())
    acknowledged = time.monotonic()
    record(f"round {number}: the entry of {name} is removed; acknowledged by the store")
    time.sleep(CUT_S - (time.monotonic() - begun))
    if TROUBLE:
        system.platform.run(links[relay].heal())
    stopped.set()
    for it in clients:
        it.join()
    late = []
    for at, request in zip(worker.arrivals, worker.received):
        request_id = request.headers.get("x-request-id")
        if at - acknowledged > DRAIN_S and request_id in sent:
            entry, status = sent[request_id]
            late.append(at - acknowledged)
            record(f"round {number}: {request_id} from {entry} reaches {name} {at - acknowledged:.3f} s after that "
                   f"(bound {DRAIN_S} s), run {worker.executed.count(request_id)} times, answered {status}")
    record(f"round {number}: {len(sent)} requests, {len(late)} of them late at {name}, at most "
           f"{max(late, default=0):.3f} s after its leaving")
    return late


def case(record):
    system = deployed.Deployment(INSTANCES, ("z-1",))
    try:
        links = {}
        for name in system.ports:
            links[name] = faulty_link.CutLink(system.platform, system.platform.store_port)
            system.store_ports[name] = links[name].port
        system.start_all()
        report_warming(system.worker("app-1"))
        late = []
        for number in range(1, ROUNDS + 1):
            late += play(system, links, record, number)
        return not late
    finally:
        system.stop()


deployed.run(HERE, case)
