"""Callers at all instances of a small system who send requests at random times and never try again."""

import collections
import itertools
import random
import threading
import time

ROUTES = ("read", "pay", "chat", "resume")
ONCE_ROUTES = ("pay", "chat")


class Traffic:
    """Callers at all instances, two for each route, who never try again."""

    numbers = itertools.count()

    def __init__(self, system):
        self.system = system
        self.number = next(self.numbers)  # Requests of two times of traffic have different ids.
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.responses = []  # Instance, route, when sent, status or 0, request id.
        self.threads = [threading.Thread(target=self.run_caller, args=(name, route, seed)) for seed, (name, route, _) in
                        enumerate(itertools.product(system.ports, ROUTES, range(2)))]

    def run_caller(self, name, route, seed):
        rng = random.Random(f"{self.number} {seed}")
        while not self.stopping.wait(0.1 + 0.2 * rng.random()):
            sent_at, request_id = time.monotonic(), f"{rng.getrandbits(60):016x}"
            try:
                reply = self.system.send(route, request_id, entry=name, timeout_s=6.0)
                status = reply.status if getattr(reply, "complete", False) else 0
            except OSError:
                status = 0
            with self.lock:
                self.responses.append((name, route, sent_at, status, request_id))

    def __enter__(self):
        for it in self.threads:
            it.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for it in self.threads:
            it.join()

    def served(self, names, since, until):
        """Returns how many requests were sent to the instances in that time, and how many were served."""
        rows = [row for row in self.responses if row[0] in names and since <= row[2] < until]
        return len(rows), sum(row[3] == 200 for row in rows)

    def check_promises(self, what):
        """No once-only request ran twice, and none that was refused ran."""
        runs = collections.Counter(it for worker in self.system.platform.workers.values() for it in worker.executed)
        once = [row for row in self.responses if row[1] in ONCE_ROUTES]
        twice = [row for row in once if runs[row[4]] > 1]
        assert not twice, (what, "ran more than once", twice)
        refused = [row for row in once if row[3] == 503 and runs[row[4]]]
        assert not refused, (what, "refused and run", refused)
