"""Judges the job interface by what callers, workers and the provider see.

Nothing here reads the scheduler's records. Each finding begins with the name of
the users' rule that it breaks; docs/PROOF.md lists the sentences.
"""

import collections
import dataclasses

from bambookeel.jobs import calls
from bambookeel.jobs import specs

# Time after its cancelling from which no task of a job may start.
_CANCEL_MS = 3_000
# Age from which a job that has not begun must be counted, visible_ms + 2 s.
_VISIBLE_MS = 5_000
# Time for which an earlier configuration may still decide.
_APPLY_MS = 2_000
_EARLY_MS = 100
# Time after the disturbances from which no member of a gang may end alone; it
# waits for 3 s before it does.
_CALM_MS = 8_000
# Crashes under a task after which its job may be given up.
_MIN_CRASHES = 2
# The same if the orders to start it may have been lost with the workers.
_MIN_POSSIBLE_CRASHES = 4
_OPEN = (specs.JobState.WAITING, specs.JobState.ACTIVE)


@dataclasses.dataclass
class Known:
    """What its caller and the workers know of a job."""

    job: str
    path: str
    route: int
    account: int
    spec: specs.JobSpec
    shape: str
    sent_ms: int
    # Place and key with which it was accepted, or else sent first.
    entry: str = ""
    key: str = ""
    accepted_ms: int | None = None
    may_be_accepted: bool = False
    cancel_sent_ms: int | None = None
    cancelled_ms: int | None = None
    completed_ms: int | None = None
    ended: specs.JobState | None = None
    started: set = dataclasses.field(default_factory=set)
    done: dict = dataclasses.field(default_factory=dict)
    noted: set = dataclasses.field(default_factory=set)
    # Runs that ended failed, by task, or by step for a gang.
    failed: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    noted_failed: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    crashes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    possible_crashes: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def is_step_done(self, occurrence, number):
        """Returns whether all tasks of a step have ended done."""
        step = self.spec.steps[number]
        tasks = [ref for ref in self.done if ref[1:3] == (occurrence, number)]
        return len(tasks) >= (1 if step.is_gang else step.count)

    def is_done(self):
        """Returns whether all tasks have ended done."""
        return all(
            not step.is_standing and self.is_step_done(occurrence, number)
            for occurrence in range(max(1, self.spec.occurrences))
            for number, step in enumerate(self.spec.steps)
        )

    def list_tasks(self, number, count):
        """Lists the tasks of a step of a job that runs once."""
        return [specs.TaskRef(self.job, 0, number, i) for i in range(count)]

    def get_attempt_key(self, ref):
        """Returns what counts failures: the task, or the step of a gang."""
        return ref[:3] if self.spec.steps[ref[2]].is_gang else ref


class Oracle:
    """Collects the findings of one simulation."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.jobs = {}
        self.findings = []

    def add(self, rule, job, text):
        """Adds a finding about a job, once for each rule and job."""
        if not any(f[:2] == (rule, job) for f in self.findings):
            self.findings.append((rule, job, text))
            self._simulation.note(job, f"{rule}: {text}")

    # --- Workers ---

    def check_start(self, worker, order):
        """Checks a start on a worker, which has not begun yet."""
        ref = order.task
        known = self.jobs.get(ref.job)
        if known is None or not _has_task(known.spec, ref):
            self.add("UNASKED", ref.job, f"{ref} was never submitted")
            return
        step = known.spec.steps[ref.step]
        now_ms = self._simulation.now_ms
        if order.body != known.spec.body:
            self.add("UNASKED", ref.job, f"{ref} starts with another body")
        self._check_checkpoint(known, order)
        if known.cancelled_ms and now_ms > known.cancelled_ms + _CANCEL_MS:
            self.add("UNASKED", ref.job, f"{ref} starts after its cancelling")
        if not known.may_be_accepted:
            self.add("REFUSED", ref.job, f"{ref} starts, but was rejected")
        self._check_runs(known, ref, step)
        for earlier in step.after:
            if not known.is_step_done(ref.occurrence, earlier):
                self.add("ORDER", ref.job, f"{ref} before step {earlier}")
        due_ms = known.spec.get_due_wall_ms(ref.occurrence)
        if due_ms > self._simulation.read_now().wall_ms + _EARLY_MS:
            self.add("ORDER", ref.job, f"{ref} starts too early")
        self._check_place(known, worker, ref, step)
        self._check_cap(known, step)
        attempts = self._list_attempts(known, since_ms=0)
        failures = len(known.noted_failed[known.get_attempt_key(ref)])
        if not step.is_standing and failures >= max(attempts):
            self.add("BUDGET", ref.job, f"{ref} after {failures} failures")

    def _check_runs(self, known, ref, step):
        now_ms = self._simulation.now_ms
        if not step.allows_copies:
            if ref in known.noted:
                self.add("TWICE", ref.job, f"{ref} starts after its noted end")
            for other in self._simulation.workers.values():
                if other.is_up and ref in other.running:
                    self.add("TWICE", ref.job, f"{ref} also on {other.name}")
        if known.completed_ms and now_ms > known.completed_ms + 1_000:
            self.add("TWICE", ref.job, f"{ref} starts after completed")

    def _check_checkpoint(self, known, order):
        ref = order.task
        owner = known.get_attempt_key(ref)
        own = ".".join(str(part) for part in owner) + "#"
        if order.saved and not order.saved.startswith(own):
            self.add("UNASKED", ref.job, f"{ref} resumes from {order.saved}")

    def _check_place(self, known, worker, ref, step):
        used = step.reserved
        same = 0
        for other in worker.running:
            used += self.jobs[other.job].spec.steps[other.step].reserved
            same += other[:3] == ref[:3]
        if not used.fits_in(worker.capacity):
            self.add("LIMIT", ref.job, f"{worker.name} exceeds its capacity")
        if step.max_per_instance and same >= step.max_per_instance:
            self.add("ROUTE", ref.job, f"{ref} is one too many on a worker")
        if step.label and step.label not in worker.labels:
            self.add("ROUTE", ref.job, f"{ref} on a worker without its label")
        site = self._simulation.site
        services = site.services[known.path] | {
            site.routes[known.route].service
        }
        if worker.service not in services:
            self.add("ROUTE", ref.job, f"{ref} runs in {worker.service}")

    def _check_cap(self, known, step):
        caps = _list_recent(
            self._simulation.site.caps[known.account],
            self._simulation.now_ms - _APPLY_MS,
        )
        if 0 in caps:
            return
        total = largest = step.needs.cpu_milli
        for worker in self._simulation.workers.values():
            for ref in worker.running if worker.is_up else ():
                other = self.jobs[ref.job]
                if other.account == known.account:
                    total += other.spec.steps[ref.step].needs.cpu_milli
        if total > max(caps) + largest:
            self.add("QUOTA", known.job, f"{total} of a cap of {max(caps)}")

    def _list_attempts(self, known, since_ms):
        limits = self._simulation.site.attempts.get(known.path, [(0, 1)])
        return _list_recent(limits, since_ms) or [1]

    def note_start(self, ref):
        """Notes that a worker has started a run."""
        self.jobs[ref.job].started.add(ref)

    def note_end(self, ref, run, how):
        """Notes the end of a run on its worker."""
        known = self.jobs[ref.job]
        if how is specs.RunEnd.DONE:
            known.done[ref] = run
        elif how is specs.RunEnd.FAILED:
            known.failed[known.get_attempt_key(ref)].add(run)
        elif how is specs.RunEnd.ALONE and known.cancel_sent_ms is None:
            calm_ms = self._simulation.now_ms - self._simulation.calm_from_ms
            if calm_ms > _CALM_MS:
                self.add("GANG", ref.job, f"{ref} run {run} waited alone")

    def note_acknowledged(self, end):
        """Notes that an end was taken note of, in the lease of its worker."""
        known = self.jobs[end.task.job]
        if end.how is specs.RunEnd.DONE:
            known.noted.add(end.task)
        elif end.how is specs.RunEnd.FAILED:
            key = known.get_attempt_key(end.task)
            known.noted_failed[key].add(end.run)

    def note_crash(self, running, sent):
        """Notes the tasks under which a worker may have crashed.

        Args:
            running: Tasks that it had, also if their ends were not heard of.
            sent: Tasks of orders of which it is not known to have had any.
        """
        for ref in running:
            self.jobs[ref.job].crashes[ref] += 1
        for ref in {*running, *sent}:
            self.jobs[ref.job].possible_crashes[ref] += 1

    # --- Callers ---

    def check_submitted(self, known, answer):
        """Checks the answer to a submission, first or repeated."""
        if not isinstance(answer, calls.NotStored):
            known.may_be_accepted = True
        if isinstance(answer, calls.Done):
            if known.accepted_ms is None:
                known.accepted_ms = self._simulation.now_ms
        elif answer is not None and known.accepted_ms is not None:
            self.add("LOST", known.job, f"a repeated submission: {answer}")
        elif isinstance(answer, calls.UnknownQueue | calls.BadKey):
            self.add("CONFIG", known.job, f"submission: {answer}")

    def check_state(self, known, answer):
        """Checks the answer to a request for the state of a job."""
        if answer is None:
            return
        if isinstance(answer, calls.NoSuchJob):
            if known.accepted_ms is not None and known.cancel_sent_ms is None:
                self.add("LOST", known.job, "410 for an accepted job")
            return
        if not isinstance(answer, calls.JobIs):
            self.add("CONFIG", known.job, f"state: {answer}")
            return
        if not known.may_be_accepted:
            self.add("REFUSED", known.job, "shown, but was rejected")
        self._check_shown(known, answer)

    def _check_shown(self, known, answer):
        now_ms = self._simulation.now_ms
        state = answer.state
        if known.ended is not None and state is not known.ended:
            self.add("MIXED", known.job, f"{known.ended} became {state}")
        if state in _OPEN:
            return
        known.ended = state
        if state is specs.JobState.COMPLETED:
            known.completed_ms = known.completed_ms or now_ms
            if not known.is_done():
                self.add("MIXED", known.job, "completed, but tasks are not")
        elif state is specs.JobState.CANCELLED:
            if known.cancel_sent_ms is None:
                self.add("LOST", known.job, "cancelled by nobody")
        elif not self._may_have_failed(known):
            self.add("LOST", known.job, f"failed: {answer.reason}")

    def _may_have_failed(self, known):
        if max(known.crashes.values(), default=0) >= _MIN_CRASHES:
            return True
        possible = max(known.possible_crashes.values(), default=0)
        if possible >= _MIN_POSSIBLE_CRASHES:
            return True
        attempts = self._list_attempts(known, known.sent_ms)
        failures = [
            len(runs)
            for key, runs in known.failed.items()
            if not known.spec.steps[key[2]].is_standing
        ]
        return max(failures, default=0) >= min(attempts)

    def check_cancelled(self, known, answer):
        """Checks the answer to a cancelling."""
        if isinstance(answer, calls.Done):
            known.cancelled_ms = known.cancelled_ms or self._simulation.now_ms
        elif isinstance(answer, calls.NoSuchJob):
            if known.accepted_ms is not None:
                self.add("LOST", known.job, "a cancelling: 410")
        elif answer is not None:
            self.add("CONFIG", known.job, f"cancelling: {answer}")

    def check_count(self, path, answer):
        """Checks the number of pending jobs of a place."""
        if not isinstance(answer, calls.Pending):
            if answer is not None:
                self.add("CONFIG", path, f"count: {answer}")
            return
        if path in self._simulation.site.moved_paths:
            return
        now_ms = self._simulation.now_ms
        jobs = [k for k in self.jobs.values() if k.path == path]
        waiting = [
            known
            for known in jobs
            if known.accepted_ms is not None
            and now_ms - known.accepted_ms > _VISIBLE_MS
            and not known.started
            and not known.spec.is_timed
            and known.cancel_sent_ms is None
            and known.ended is None
        ]
        if answer.count < len(waiting) / 2:
            text = f"{answer.count} pending, {len(waiting)} wait"
            self.add("MIXED", waiting[0].job, text)
        if answer.count > sum(k.may_be_accepted for k in jobs):
            self.add("MIXED", path, f"{answer.count} of {len(jobs)} pending")

    # --- The end ---

    def list_unended(self):
        """Lists accepted jobs that have neither ended nor stand."""
        running = collections.Counter(
            ref.job
            for worker in self._simulation.workers.values()
            for ref in worker.running
        )
        unended = []
        for known in self.jobs.values():
            if known.cancel_sent_ms is not None:
                if known.cancelled_ms and running[known.job]:
                    unended.append((known, "still runs after its cancelling"))
                continue
            if known.accepted_ms is None or known.ended is not None:
                continue
            standing = sum(s.count for s in known.spec.steps if s.is_standing)
            if not standing:
                unended.append((known, "has not ended"))
            elif running[known.job] != standing:
                text = f"runs {running[known.job]} of {standing} tasks"
                unended.append((known, text))
        return unended

    def check_end(self):
        """Checks that each accepted job has ended, or stands."""
        for known, text in self.list_unended():
            rule = "LOST" if known.cancelled_ms is None else "UNASKED"
            self.add(rule, known.job, text)


def _has_task(spec, ref):
    return (
        0 <= ref.occurrence < max(1, spec.occurrences)
        and 0 <= ref.step < len(spec.steps)
        and 0 <= ref.task_index < spec.steps[ref.step].count
    )


def _list_recent(history, since_ms):
    """Lists the values of a history that held at some time since then."""
    return [
        value
        for number, (_, value) in enumerate(history)
        if number + 1 == len(history) or history[number + 1][0] >= since_ms
    ]
