"""A machine is stopped (SIGTERM) while requests that it has passed on wait in the queue of their worker."""

import json
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "shared-3"))

import small_deployment as small  # noqa: E402

SLOTS, QUEUE = 6, 24  # Of the worker.
ROUNDS = 3  # Of long requests that the worker runs before the others.
LONG_MS = 2520
SHORT_MS = 50
SHORT = 6
DEADLINE_MS = 8000  # Of clients, and the route's timeout.
LAST_SIXTH_S = small.GRACE_S * 5 / 6


def case(deployment):
    deployment.start_worker("i-app-1", "register-app", "bern-a", "--queue", str(QUEUE), slots=SLOTS)
    deployment.start([small.route("subsidy-post", "unsafe", "register-app", timeout_ms=DEADLINE_MS)],
                     [{"name": "register-app", "health_path": "/health", "max_connections": 100}])
    entry = list(deployment.ports)[0]
    answers, sent, ended, threads = {}, {}, {}, []

    def client(connection, work_ms):
        request_id = deployment.new_id()
        sent[request_id] = time.time()
        answers[request_id] = deployment.send(connection, "/subsidy-post/2f", request_id, json.dumps({"work_ms": work_ms}).encode(),
                                              deadline_ms=DEADLINE_MS)
        ended[request_id] = time.time()

    connections = [deployment.connect(entry) for _ in range(SLOTS * ROUNDS + SHORT)]
    for it in connections:
        it.connect()
    for n, it in enumerate(connections):
        threads.append(threading.Thread(target=client, args=(it, LONG_MS if n < SLOTS * ROUNDS else SHORT_MS), daemon=True))
        threads[-1].start()
        time.sleep(0.005)
    time.sleep(0.05)
    stopped = time.time()
    if small.TROUBLE:
        deployment.signal(entry, signal.SIGTERM)
        try:
            deployment.processes[entry].wait(small.GRACE_S)
            deployment.record(f"the process has ended by itself, {time.time() - stopped:.2f} s after SIGTERM")
        except Exception:  # noqa: BLE001
            deployment.signal(entry, signal.SIGKILL)
    for it in threads:
        it.join()
    deployment.record_notes()
    notes = {}
    for it in deployment.worker_notes():
        notes.setdefault(it["request"], {})[it["what"]] = it["at"]
    broken = []
    for request_id, it in answers.items():
        seen = notes.get(request_id, {})
        lost = it.status == 0 or not it.complete
        in_time = ended[request_id] - sent[request_id] < DEADLINE_MS / 1000
        # At work in the last sixth of the grace, on a request that was sent up to 3 s after the signal: excused.
        at_work = "run begins" in seen and seen.get("run ends", time.time()) >= stopped + LAST_SIXTH_S
        if lost and "queued" in seen and in_time and not (at_work and sent[request_id] <= stopped + 3):
            broken.append(f"request {request_id}: passed on to the worker {stopped - seen['queued']:.2f} s before the signal, its "
                          f"connection ended without an answer {ended[request_id] - stopped:.2f} s after it, "
                          f"{DEADLINE_MS / 1000 - (ended[request_id] - sent[request_id]):.2f} s before its deadline; the worker "
                          "had not begun to run it")
    return broken


small.run_case(FOLDER, case)
