"""A machine that others follow the store through is partitioned from the store; meanwhile a worker leaves without saying so.
The followers, which reach the store themselves, go on sending it requests."""

import json
import pathlib
import re
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import deployed
import faulty_link
import leaving
import platform_standin
from deployed import BOUNDS, TROUBLE, processes

INSTANCES = 7
ROUNDS = 6
CUT_S = 5.5
platform_standin.HEARTBEAT_S = 1.2  # As the settings say.


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


def play(system, links, record, number):
    """One partition. Returns how many requests reached the worker later than the bound."""
    processes.wait_until("followers of relays", lambda: settled(system))
    time.sleep(BOUNDS["contact_ms"] / 1000 + 0.5)  # All machines are in touch.
    followed = {it: relay_of(system, it) for it in system.ports if relay_of(system, it) != it}
    relay = max(set(followed.values()), key=list(followed.values()).count)
    followers = [it for it in followed if followed[it] == relay]
    load = leaving.Round(system, record, number, followers)
    load.start()
    time.sleep(2 + 0.37 * number)  # The partition comes at another time of the relay's calls each time.

    async def cut():
        links[relay].cut("hang")

    if TROUBLE:
        system.platform.run(cut())
        record(f"round {number}: {relay} is partitioned from the store for {CUT_S} s; {followers} follow it and are not")
    begun = time.monotonic()
    time.sleep(0.1)
    load.leave()
    load.exit()
    time.sleep(max(begun + CUT_S - time.monotonic(), 0))
    if TROUBLE:
        system.platform.run(links[relay].heal())
    return load.judge()


def case(record):
    system = deployed.Deployment(INSTANCES, ("z-1",))
    try:
        links = {}
        for name in system.ports:
            links[name] = faulty_link.CutLink(system.platform, system.platform.store_port)
            system.store_ports[name] = links[name].port
        system.start_all()
        report_warming(system.worker("app-1"))
        late = 0
        for number in range(1, ROUNDS + 1):
            late += play(system, links, record, number)
        return not late
    finally:
        system.stop()


deployed.run(HERE, case)
