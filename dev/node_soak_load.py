"""Callers, workers and an operator of the node soak, and the checks on it.

Each caller, each worker and the operator runs in its own greenlet. They record
what they see with its time, and `find_breaches` checks the promises from these
records alone. A breach is a broken promise.
"""

import dataclasses
import json
import random
import time
import typing

import gevent

from dev import node_soak_site
from dev import node_soak_worker
from features.fakes import platform_document

# Time limits of the users' platform for applying a configuration and for
# cancelling a job.
APPLY_S = 2.5
CANCEL_S = 4.0
# Share of the jobs whose tasks are long, and how long these run.
_LONG_SHARE = 0.08
_LONG_RUN_MS = (3_000, 12_000)
_KEYS = ("key-of-the-team", "key-two")
_ALLOWED_NEXT_STATES = {
    "queued": {"queued", "active", "completed", "failed", "cancelled"},
    "active": {"active", "completed", "failed", "cancelled"},
    "completed": {"completed"},
    "failed": {"failed"},
    "cancelled": {"cancelled"},
}


@dataclasses.dataclass
class Job:
    """A job as its callers know it.

    Attributes:
        name: The job's id.
        body: Body of the request that submits it.
        key: The API key that its requests send.
        is_accepted: Whether a submission was answered with success.
        has_unclear_attempt: Whether a submission may have been accepted, as it
            had no answer or one with status 502 or 504.
        cancel_acked_s: When the cancellation was acknowledged, in seconds of
            the monotonic clock; 0 for never.
        cancel_sent: Whether a cancellation was requested.
        state: The last state that was read.
    """

    name: str
    body: dict[str, typing.Any]
    key: str
    is_accepted: bool = False
    has_unclear_attempt: bool = False
    cancel_acked_s: float = 0.0
    cancel_sent: bool = False
    state: str = "queued"


@dataclasses.dataclass
class ConfigurationVersion:
    """A version of the configuration that the operator has sent.

    Attributes:
        number: The version number.
        has_second_key: Whether it contains the second team with its key.
        sent_s: When it was first sent, in seconds of the monotonic clock.
        acked_s: When it was acknowledged, in seconds of the monotonic clock; 0
            for not yet.
    """

    number: int
    has_second_key: bool
    sent_s: float
    acked_s: float = 0.0


class SoakLoad:
    """The workers, callers and operator of the nodes, and their records."""

    def __init__(self, site: node_soak_site.SoakSite, seed: int) -> None:
        self.site = site
        self.jobs: list[Job] = []
        self.versions: list[ConfigurationVersion] = []
        self.breaches: list[str] = []
        self.counts: dict[str, int] = {}
        self._seed = seed
        self._is_stopping = False
        self._tasks: list[typing.Any] = []

    def start(self) -> None:
        """Starts the workers, the operator and four callers."""
        for worker in self.site.workers:
            self._tasks.append(gevent.spawn(self._run_worker, worker))
        self._tasks.append(gevent.spawn(self._run_operator))
        for number in range(4):
            self._tasks.append(gevent.spawn(self._run_caller, number))

    def stop_requests(self) -> None:
        """Ends the callers and the operator; the workers continue."""
        self._is_stopping = True
        gevent.joinall(self._tasks[len(self.site.workers) :], timeout=30)

    def kill_tasks(self) -> None:
        """Kills the greenlets of workers, callers and the operator."""
        gevent.killall(self._tasks)

    def _add_count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _run_worker(self, worker: node_soak_worker.SoakWorker) -> None:
        while True:
            worker.step()
            gevent.sleep(0.01)

    # --- The operator ---

    def _run_operator(self) -> None:
        generator = random.Random(self._seed + 1)
        number = 0
        while not self._is_stopping:
            number += generator.randrange(1, 4)
            has_second_key = number < 3 or generator.random() < 0.5
            version = ConfigurationVersion(
                number, has_second_key, time.monotonic()
            )
            self.versions.append(version)
            document = platform_document.build_document(number)
            if has_second_key:
                second_team = {**document["tenants"][0], "name": "t2"}
                second_team["api_keys"] = [_KEYS[1]]
                document["tenants"].append(second_team)
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
            self._add_count("versions")
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
        self._add_count("configurations read")
        read_version = json.loads(answer[2])["version"]
        versions_due = [
            version.number
            for version in self.versions
            if version.acked_s and version.acked_s + APPLY_S < sent_s
        ]
        if versions_due and read_version < max(versions_due):
            self.breaches.append(
                f"node {node} read {read_version} after {max(versions_due)}"
            )

    def _is_second_key_withdrawn(self, sent_s: float) -> bool:
        """Returns whether the second key was invalid throughout a call.

        Args:
            sent_s: When the call was sent, in seconds of the monotonic clock.
                Its answer has just arrived.

        Returns:
            Whether no version that may have been in force during the call
            contains the key.
        """
        versions_due = [
            v
            for v in self.versions
            if v.acked_s and v.acked_s + APPLY_S < sent_s
        ]
        if not versions_due:
            return False
        newest_due = max(versions_due, key=lambda v: v.number)
        # Any later version that has been sent may have been in force, too.
        later = [v for v in self.versions if v.number > newest_due.number]
        return not any(v.has_second_key for v in (newest_due, *later))

    # --- Callers ---

    def _run_caller(self, number: int) -> None:
        generator = random.Random(100 * self._seed + number)
        count = 0
        while not self._is_stopping:
            count += 1
            name = f"{number:04x}{count:012x}"
            job = Job(name, _build_body(generator), generator.choice(_KEYS))
            self.jobs.append(job)
            self._submit(job, generator)
            if job.is_accepted and generator.random() < 0.15:
                self._cancel(job, generator)
            if generator.random() < 0.2 and job.is_accepted:
                # Submitted again, usually at another node, it must stay one
                # job.
                self._submit(job, generator)
            for _ in range(3):
                self._query_state(generator.choice(self.jobs), generator)
            gevent.sleep(generator.uniform(0.05, 0.4))

    def _call(
        self, method: str, job: Job, generator: random.Random
    ) -> tuple[int, dict[str, str], bytes] | None:
        node = generator.randrange(len(self.site.nodes))
        body = job.body if method == "POST" else None
        path = f"/orders/{job.name}"
        return self.site.call_front(node, method, path, body, key=job.key)

    def _submit(self, job: Job, generator: random.Random) -> None:
        for _ in range(12):
            sent_s = time.monotonic()
            answer = self._call("POST", job, generator)
            status = answer[0] if answer is not None else 0
            self._add_count(f"handed in: {status}")
            if status == 200:
                is_second = job.key == _KEYS[1]
                if is_second and self._is_second_key_withdrawn(sent_s):
                    self.breaches.append(f"{job.name}: withdrawn key taken")
                job.is_accepted = True
                return
            if status in (0, 502, 504):
                job.has_unclear_attempt = True
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
                    job.cancel_acked_s = time.monotonic()
                    self._add_count("cancelled")
                return
            gevent.sleep(0.2)

    def _query_state(self, job: Job, generator: random.Random) -> None:
        was_accepted = job.is_accepted
        previous_state = job.state
        answer = self._call("GET", job, generator)
        if answer is None or answer[0] not in (200, 410):
            return
        if answer[0] == 410:
            if was_accepted:
                self.breaches.append(f"{job.name}: accepted, then unknown")
            return
        state = json.loads(answer[2])["state"]
        self._add_count("states read")
        if state not in _ALLOWED_NEXT_STATES[previous_state]:
            self.breaches.append(f"{job.name}: {state} after {previous_state}")
        # Another caller may have read a later state during the call.
        if job.state == previous_state:
            job.state = state

    # --- Checks ---

    def are_jobs_done(self) -> bool:
        """Returns whether every accepted job has ended.

        Reads the state of those not known to have ended.

        Returns:
            Whether all have ended, and the tasks of those without a requested
            cancellation are complete.
        """
        generator = random.Random(self._seed)
        completed_tasks = self._list_completed_tasks()
        are_done = True
        for job in self.jobs:
            if not job.is_accepted:
                continue
            if not job.cancel_sent and _list_tasks(job) - completed_tasks:
                are_done = False
            # The second key may be withdrawn and then cannot read the state;
            # its jobs are checked by their tasks alone.
            if job.key != _KEYS[0]:
                continue
            if job.state in ("queued", "active"):
                self._query_state(job, generator)
            if job.state in ("queued", "active"):
                are_done = False
        return are_done

    def _list_completed_tasks(self) -> set[str]:
        return {task for task, _, how in self.site.ends if how == "done"}

    def find_breaches(self) -> list[str]:
        """Checks the promises after the end of the load.

        Returns:
            Descriptions of the breaches found, also during the load.
        """
        breaches = [*self.breaches, *self.site.violations]
        jobs_by_name = {job.name: job for job in self.jobs}
        completed_tasks = self._list_completed_tasks()
        for task, _, _, at_s in self.site.starts:
            name = task.partition(".")[0]
            job = jobs_by_name.get(name)
            if job is None or not (job.is_accepted or job.has_unclear_attempt):
                breaches.append(f"{task} started, but was never taken")
                continue
            if job.cancel_acked_s and at_s > job.cancel_acked_s + CANCEL_S:
                breaches.append(f"{task} started after its cancelling")
        for job in self.jobs:
            if not job.is_accepted or job.cancel_sent:
                continue
            if job.state in ("cancelled", "failed"):
                breaches.append(f"{job.name} is {job.state} without a cause")
            if job.key == _KEYS[0] and job.state != "completed":
                breaches.append(f"{job.name} was accepted and is {job.state}")
            missing = _list_tasks(job) - completed_tasks
            if missing:
                breaches.append(f"{missing} never ended, but were accepted")
        return breaches

    def count_worker_faults(self) -> None:
        """Adds the workers' counts of lives, answers and reports."""
        for worker in self.site.workers:
            for name, count in worker.counts.items():
                self.counts[name] = self.counts.get(name, 0) + count


def _list_tasks(job: Job) -> set[str]:
    return {
        f"{job.name}.0.{phase_index}.{task_index}"
        for phase_index, phase in enumerate(job.body["phases"])
        for task_index in range(phase["count"])
    }


def _build_body(generator: random.Random) -> dict[str, typing.Any]:
    if generator.random() < _LONG_SHARE:
        return _build_long_body(generator)
    phases: list[dict[str, typing.Any]] = []
    for phase_index in range(generator.randrange(1, 4)):
        phase = {
            "count": generator.randrange(1, 5),
            "cpu": generator.choice((500, 1_000, 2_000)),
            "mem_mb": 100,
            "estimate_ms": 150,
        }
        if phase_index:
            phase["depends_on"] = [phase_index - 1]
        phases.append(phase)
    return {"spec": "pack it", "phases": phases}


def _build_long_body(generator: random.Random) -> dict[str, typing.Any]:
    run_ms = generator.randrange(*_LONG_RUN_MS)
    phase = {
        "count": generator.randrange(1, 5),
        "cpu": generator.choice((500, 1_000, 2_000)),
        "mem_mb": 100,
        "estimate_ms": run_ms,
    }
    spec = f"{node_soak_worker.RUN_MS_PREFIX}{run_ms}"
    return {"spec": spec, "phases": [phase]}
