"""The operator takes the only tenant away: requests with its key, and with keys that never existed, run from then on."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

import deployed
from deployed import BOUNDS, TROUBLE, proxied_system

TENANT = {"name": "team-1", "api_keys": ["key-1"]}
KEYS = {"key-1": "the tenant's key", "never-given-out": "a key that no configuration held"}
ROUTES = ("read", "pay", "chat")


def config(version, tenants):
    return {**proxied_system.example_config(version), "tenants": tenants}


def send_all(system, record, allowed):
    """Sends a request of each kind with each key at each instance. Returns those that ran without a right to."""
    wrong = []
    for entry in system.ports:
        for route in ROUTES:
            for key, what in KEYS.items():
                answer = system.send(route, key=key, entry=entry)
                runs = system.execution_count(answer.request_id)
                teams = [it.headers.get("x-tenant-id") for _, it in system.received_requests(answer.request_id)]
                record(f"{entry} {route} {answer.request_id} with {what}: answered {answer.status}, run {runs} times, "
                       f"X-Tenant-Id at the worker {teams}")
                if key in allowed and answer.status != 200:
                    raise RuntimeError("a proper request was not served")
                if key not in allowed and runs:
                    wrong.append(answer.request_id)
    return wrong


def case(record):
    system = deployed.Deployment(2, ("z-1", "z-2"))
    try:
        system.start_all(config(1, [TENANT]))
        record("version 1, with one tenant, is in force")
        if send_all(system, record, ["key-1"]):
            raise RuntimeError("the first version is not in force")
        system.platform.put_config(config(2, [] if TROUBLE else [{**TENANT, "api_keys": []}]))
        acknowledged = record.now()
        record("version 2 is acknowledged: " + ("the tenant is gone, `tenants` is empty" if TROUBLE
                                                else "the tenant is there and has no key"))
        time.sleep(BOUNDS["config_apply_ms"] / 1000 + 1)
        wrong = send_all(system, record, [])
        record(f"{len(wrong)} requests ran that no key of version 2 allows, sent {record.now() - acknowledged:.1f} s "
               f"after its acknowledgement (bound {BOUNDS['config_apply_ms']} ms)")
        return not wrong
    finally:
        system.stop()


deployed.run(HERE, case)
