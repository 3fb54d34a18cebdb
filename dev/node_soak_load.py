"""Callers, workers and an operator of the soak, and what they must see.

Each runs in a task of its own over connections that it keeps. What they see is
noted with its time; `find_breaches` reads the promises from those notes alone.
"""

import dataclasses
import json
import random
import time
import typing

import gevent

from dev import node_soak_site
from features.fakes import platform_document
from features.fakes import platform_site

# Bounds that the users' platform states for configurations and cancelling.
APPLY_S = 2.5
CANCEL_S = 4.0
_KEYS = ("key-of-the-team", "key-two")
_STATES_AFTER = {
    "queued": {"queued", "active", "completed", "failed", "cancelled"},
    "active": {"active", "completed", "failed", "cancelled"},
    "completed": {"completed"},
    "failed": {"failed"},
    "cancelled": {"cancelled"},
}


@dataclasses.dataclass
class Job:
    """What callers know of a job.

    Attributes:
        name: Its id.
        body: What was handed in.
        key: The key that was shown.
        is_accepted: Whether an attempt was answered with success.
        is_unclear: Whether an attempt had no clear answer.
        cancelled_s: When its cancelling was acknowledged; 0 for never.
        cancel_sent: Whether cancelling was asked for.
        state: The last state that was shown.
    """

    name: str
    body: dict[str, typing.Any]
    key: str
    is_accepted: bool = False
    is_unclear: bool = False
    cancelled_s: float = 0.0
    cancel_sent: bool = False
    state: str = "queued"


@dataclasses.dataclass
class Version:
    """A configuration that the operator has sent.

    Attributes:
        number: Its version.
        has_second_key: Whether it has the second team's key.
        sent_s: When it was first sent.
        acked_s: When it was acknowledged; 0 for not yet.
    """

    number: int
    has_second_key: bool
    sent_s: float
    acked_s: float = 0.0


class Load:
    """Everything around the nodes, until it is told to stop."""

    def __init__(self, site: node_soak_site.SoakSite, seed: int) -> None:
        self.site = site
        self.jobs: list[Job] = []
        self.versions: list[Version] = []
        self.breaches: list[str] = []
        self.counts: dict[str, int] = {}
        self._seed = seed
        self._is_over = False
        self._tasks: list[typing.Any] = []

    def start(self) -> None:
        """Starts workers, the operator and callers."""
        for worker in self.site.workers:
            self._tasks.append(gevent.spawn(self._run_worker, worker))
        self._tasks.append(gevent.spawn(self._run_operator))
        for number in range(4):
            self._tasks.append(gevent.spawn(self._run_caller, number))

    def stop_asking(self) -> None:
        """Lets callers and operator end; the workers go on."""
        self._is_over = True
        gevent.joinall(self._tasks[len(self.site.workers) :], timeout=30)

    def end(self) -> None:
        """Ends everything."""
        gevent.killall(self._tasks)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _run_worker(self, worker: platform_site.FakeWorker) -> None:
        while True:
            worker.step()
            gevent.sleep(0.01)

    # --- The operator ---

    def _run_operator(self) -> None:
        generator = random.Random(self._seed + 1)
        number = 0
        while not self._is_over:
            number += generator.randrange(1, 4)
            has_second = number < 3 or generator.random() < 0.5
            version = Version(number, has_second, time.monotonic())
            self.versions.append(version)
            document = platform_document.build_document(number)
            if has_second:
                second = {**document["tenants"][0], "name": "t2"}
                second["api_keys"] = [_KEYS[1]]
                document["tenants"].append(second)
            while not version.acked_s:
                node = generator.randrange(len(self.site.nodes))
                answer = self.site.call_control(
                    node, "POST", "/v1/config/put", document
                )
                if answer is not None and answer[0] == 200:
                    version.acked_s = time.monotonic()
                elif answer is not None and 400 <= answer[0] < 500:
                    self.breaches.append(f"version {number}: {answer}")
                    return
                gevent.sleep(0.1)
            self._count("versions")
            ends_s = time.monotonic() + generator.uniform(0.2, 3.0)
            while time.monotonic() < ends_s:
                self._read_version(generator)
                gevent.sleep(0.3)

    def _read_version(self, generator: random.Random) -> None:
        sent_s = time.monotonic()
        node = generator.randrange(len(self.site.nodes))
        answer = self.site.call_control(node, "GET", "/v1/config/get")
        if answer is None or answer[0] != 200:
            return
        self._count("configurations read")
        found = json.loads(answer[2])["version"]
        due = [
            version.number
            for version in self.versions
            if version.acked_s and version.acked_s + APPLY_S < sent_s
        ]
        if due and found < max(due):
            self.breaches.append(f"node {node} read {found} after {max(due)}")

    def _is_second_key_gone(self, sent_s: float) -> bool:
        """Tells whether the second key must not have been good for a call.

        Args:
            sent_s: When the call was sent; its answer has just come.

        Returns:
            Whether a version without the key was in force all the while.
        """
        due = [
            v
            for v in self.versions
            if v.acked_s and v.acked_s + APPLY_S < sent_s
        ]
        if not due:
            return False
        oldest = max(due, key=lambda v: v.number)
        # Any later one that was sent by now may have been in force.
        later = [v for v in self.versions if v.number > oldest.number]
        return not any(v.has_second_key for v in (oldest, *later))

    # --- Callers ---

    def _run_caller(self, number: int) -> None:
        generator = random.Random(100 * self._seed + number)
        count = 0
        while not self._is_over:
            count += 1
            name = f"{number:04x}{count:012x}"
            job = Job(name, _build_body(generator), generator.choice(_KEYS))
            self.jobs.append(job)
            self._hand_in(job, generator)
            if job.is_accepted and generator.random() < 0.15:
                self._cancel(job, generator)
            if generator.random() < 0.2 and job.is_accepted:
                # The same job again, at another node, must stay one job.
                self._hand_in(job, generator)
            for _ in range(3):
                self._ask(generator.choice(self.jobs), generator)
            gevent.sleep(generator.uniform(0.05, 0.4))

    def _call(
        self, method: str, job: Job, generator: random.Random
    ) -> tuple[int, dict[str, str], bytes] | None:
        node = generator.randrange(len(self.site.nodes))
        body = job.body if method == "POST" else None
        path = f"/orders/{job.name}"
        return self.site.call_front(node, method, path, body, key=job.key)

    def _hand_in(self, job: Job, generator: random.Random) -> None:
        for _ in range(12):
            sent_s = time.monotonic()
            answer = self._call("POST", job, generator)
            status = answer[0] if answer is not None else 0
            self._count(f"handed in: {status}")
            if status == 200:
                is_second = job.key == _KEYS[1]
                if is_second and self._is_second_key_gone(sent_s):
                    self.breaches.append(f"{job.name}: withdrawn key taken")
                job.is_accepted = True
                return
            if status in (0, 502, 504):
                job.is_unclear = True
            elif status == 401:
                return
            elif status not in (429, 503):
                self.breaches.append(f"{job.name}: answered {answer}")
                return
            gevent.sleep(generator.uniform(0.05, 0.5))

    def _cancel(self, job: Job, generator: random.Random) -> None:
        job.cancel_sent = True
        for _ in range(10):
            answer = self._call("DELETE", job, generator)
            if answer is not None and answer[0] in (200, 401, 410):
                if answer[0] == 200:
                    job.cancelled_s = time.monotonic()
                    self._count("cancelled")
                return
            gevent.sleep(0.2)

    def _ask(self, job: Job, generator: random.Random) -> None:
        was_accepted = job.is_accepted
        before = job.state
        answer = self._call("GET", job, generator)
        if answer is None or answer[0] not in (200, 410):
            return
        if answer[0] == 410:
            if was_accepted:
                self.breaches.append(f"{job.name}: accepted, then unknown")
            return
        state = json.loads(answer[2])["state"]
        self._count("states read")
        if state not in _STATES_AFTER[before]:
            self.breaches.append(f"{job.name}: {state} after {before}")
        # Another caller may have read a later state meanwhile.
        if job.state == before:
            job.state = state

    # --- The end ---

    def are_done(self) -> bool:
        """Tells whether every accepted job has ended, asking for those left.

        Returns:
            Whether all have.
        """
        generator = random.Random(self._seed)
        ended = self._list_ended()
        for job in self.jobs:
            if not job.is_accepted:
                continue
            if not job.cancel_sent and _list_tasks(job) - ended:
                return False
            # A withdrawn key cannot ask; its job is checked by its tasks.
            if job.key != _KEYS[0]:
                continue
            if job.state in ("queued", "active"):
                self._ask(job, generator)
            if job.state in ("queued", "active"):
                return False
        return True

    def _list_ended(self) -> set[str]:
        return {task for task, _, how in self.site.ends if how == "done"}

    def find_breaches(self) -> list[str]:
        """Finds the promises that were broken.

        Returns:
            What was found.
        """
        found = [*self.breaches, *self.site.violations]
        by_name = {job.name: job for job in self.jobs}
        ended = self._list_ended()
        for task, _, _, at_s in self.site.starts:
            name = task.partition(".")[0]
            job = by_name.get(name)
            if job is None or not (job.is_accepted or job.is_unclear):
                found.append(f"{task} started, but was never taken")
                continue
            if job.cancelled_s and at_s > job.cancelled_s + CANCEL_S:
                found.append(f"{task} started after its cancelling")
        for job in self.jobs:
            if not job.is_accepted or job.cancel_sent:
                continue
            if job.state in ("cancelled", "failed"):
                found.append(f"{job.name} is {job.state} without a cause")
            if job.key == _KEYS[0] and job.state != "completed":
                found.append(f"{job.name} was accepted and is {job.state}")
            missing = _list_tasks(job) - ended
            if missing:
                found.append(f"{missing} never ended, but were accepted")
        return found


def _list_tasks(job: Job) -> set[str]:
    return {
        f"{job.name}.0.{number}.{place}"
        for number, step in enumerate(job.body["phases"])
        for place in range(step["count"])
    }


def _build_body(generator: random.Random) -> dict[str, typing.Any]:
    steps: list[dict[str, typing.Any]] = []
    for number in range(generator.randrange(1, 4)):
        step = {
            "count": generator.randrange(1, 5),
            "cpu": generator.choice((500, 1_000, 2_000)),
            "mem_mb": 100,
            "estimate_ms": 150,
        }
        if number:
            step["depends_on"] = [number - 1]
        steps.append(step)
    return {"spec": "pack it", "phases": steps}
