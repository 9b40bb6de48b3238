"""A worker that leaves without saying so, under a steady load of payments, and the check of the rule DRAIN."""

import threading
import time

from deployed import BOUNDS, processes

DRAIN_S = BOUNDS["drain_ms"] / 1000
WORK_S = 0.3  # Of a payment.
EXIT_S = DRAIN_S + 0.4  # When the worker exits: it has served for `drain_ms` and a little longer.
CLIENTS = 8  # For each instance that gets requests.


class Working(dict):
    """The faults of a worker whose requests each take a while."""

    def pop(self, _request_id, _default):
        return f"after {WORK_S}"


class Round:
    """Payments at `entries` while the worker `name` leaves and then exits. `leave` is called while load runs."""

    def __init__(self, system, record, number, entries):
        self.system, self.record, self.number, self.entries = system, record, number, entries
        self.name = f"leaving-{number}"
        self.worker = system.platform.add_worker(self.name, "app", "z-1", processes.free_port())
        for it in system.platform.workers.values():
            it.faults = Working()
        self.sent = {}
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.pay, args=(it,)) for it in entries for _ in range(CLIENTS)]

    def pay(self, entry):
        while not self.stopped.is_set():
            answer = self.system.send("pay", entry=entry, timeout_s=5)
            self.sent[getattr(answer, "request_id", None)] = (entry, answer.status)

    def start(self):
        for it in self.threads:
            it.start()

    def leave(self):
        """The worker's entry is removed. It goes on serving for EXIT_S."""
        async def remove():
            self.system.platform.tasks.pop(self.name).cancel()
            await self.system.platform.store.write(removals=["servers/" + self.name])

        self.system.platform.run(remove())
        self.acknowledged = time.monotonic()
        self.record(f"round {self.number}: the entry of {self.name} is removed; acknowledged by the store")

    def exit(self):
        """The worker's process ends EXIT_S after its leaving; what it works on then came after `drain_ms`."""
        time.sleep(max(self.acknowledged + EXIT_S - time.monotonic(), 0))

        async def end():
            self.worker.server.close()
            for writer in list(self.worker.writers):
                writer.transport.abort()

        self.system.platform.run(end())
        self.record(f"round {self.number}: {self.name} exits, {time.monotonic() - self.acknowledged:.3f} s after that")

    def judge(self):
        """Ends the load. Returns how many requests reached the worker later than the bound."""
        self.stopped.set()
        for it in self.threads:
            it.join()
        late = lost = 0
        for at, request in zip(self.worker.arrivals, self.worker.received):
            after = at - self.acknowledged
            request_id = request.headers.get("x-request-id")
            if after <= DRAIN_S or request_id not in self.sent:
                continue
            entry, status = self.sent[request_id]
            late += 1
            lost += status != 200
            self.record(f"round {self.number}: {request_id} from {entry} reaches {self.name} {after:.3f} s after that "
                        f"(bound {DRAIN_S} s), begun {self.worker.executed.count(request_id)} times, answered {status}")
        failed = sum(status != 200 for _, status in self.sent.values())
        self.record(f"round {self.number}: {len(self.sent)} payments, {failed} not answered with 200; {late} reached "
                    f"{self.name} too late, {lost} of these were lost")
        return late
