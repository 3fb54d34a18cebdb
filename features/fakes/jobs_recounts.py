"""Compares the derived indexes of the job book with recounts."""

import collections
import dataclasses

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_bounds
from features.fakes import jobs_crashes
from features.fakes import jobs_mixed_crashes
from features.fakes import jobs_starvation

# Ended jobs are dropped after this time, so that a simulation sees it.
_KEEP_ENDED_MS = 5_000
# Interval at which further events may happen, and their rates.
_EVENT_MS = 100
_SUBMIT_RATE = 0.2
_CANCEL_RATE = 0.01
_NEW_LEADER_RATE = 0.01
_LEAVE_RATE = 0.01
_CUT_RATE = 0.04
# A worker is cut off for longer than its lease.
_CUT_MS = 5_000
_DEADLY_SHARE = 0.3
_KINDS = ("gang", "standing", "copies", "plain", "chain", "chain")


def find_differences(book):
    """Lists the indexes of a book that differ from a recount."""
    differences = []
    cases = collections.defaultdict(list)
    for silent in book.crashes.silent_workers.values():
        for ref, weight in silent.suspects:
            cases[ref].append((weight, silent.lost_wall_ms))
    refs = {
        task.ref
        for job in book.jobs.values()
        for step in job.steps.values()
        for task in step.tasks
    }
    for ref in refs | set(cases):
        indexed = sorted(book.crashes.list_open_cases(ref))
        if indexed != sorted(cases[ref]):
            differences.append(f"open cases of {ref}")
    for job in book.jobs.values():
        if job.get_remaining_steps() != _list_remaining_steps(job):
            differences.append(f"open work of {job.job_id}")
    return differences


def _list_remaining_steps(job):
    steps = [
        (number, step)
        for (_, number), step in job.steps.items()
        if not step.spec.is_standing and not all(t.is_done for t in step.tasks)
    ]
    ready = [
        number
        for number, step in steps
        if all(
            task.is_done
            for earlier in step.spec.after
            for task in job.steps[step.key[1], earlier].tasks
        )
    ]
    tasks = [
        (
            sum(not task.is_done for task in step.tasks),
            step.spec.estimate_ms,
            step.spec.needs.cpu_milli,
        )
        for _, step in steps
        if not step.spec.is_filler
    ]
    return tuple(tasks), tuple(dict.fromkeys(ready))


class RecountSimulation(jobs_mixed_crashes.MixedSimulation):
    """Simulation with commands of all kinds, which checks the indexes.

    Attributes:
        kinds: Number of committed commands of each kind.
        differences: Indexes that differed from a recount.
        decisions: All batches.
    """

    settings = dataclasses.replace(
        jobs_bounds.SETTINGS, keep_ended_ms=_KEEP_ENDED_MS
    )

    def __init__(self, seed):
        self.kinds = collections.Counter()
        self.differences = []
        self.decisions = []
        super().__init__(seed, workers=10, racks=3)
        self.down_ms = 5_000

    def commit(self):
        """Commits the batch and checks the book and its snapshot."""
        batch = self.scheduler.term.batch
        if not batch:
            return super().commit()
        self.decisions.append(tuple(batch))
        self.kinds.update(type(command).__name__ for command in batch)
        self.differences += find_differences(self.scheduler.book)
        is_committed = super().commit()
        restored = book_snapshot.decode_book(self.committed)
        self.differences += find_differences(restored)
        return is_committed

    def run(self, span_ms):
        """Runs the simulation, with jobs of several kinds.

        Args:
            span_ms: Simulated time.
        """
        source = self.random
        end_ms = self.now_ms + span_ms
        cut_off = []
        while self.now_ms < end_ms:
            self.advance(_EVENT_MS)
            if source.random() < _SUBMIT_RATE:
                self._submit_next()
            if source.random() < _CANCEL_RATE:
                self.cancel(source.choice(list(self.specs)))
            if source.random() < _NEW_LEADER_RATE:
                self.start_leader()
            if source.random() < _LEAVE_RATE:
                self._leave(source.choice(list(self.workers.values())))
            if source.random() < _CUT_RATE:
                worker = source.choice(list(self.workers.values()))
                worker.is_cut_off = True
                cut_off.append((self.now_ms + _CUT_MS, worker))
            while cut_off and self.now_ms >= cut_off[0][0]:
                _, worker = cut_off.pop(0)
                worker.is_cut_off = False

    def _submit_next(self):
        source = self.random
        job = f"{len(self.specs):016x}"
        kind = source.choice(_KINDS)
        spec = jobs_crashes.make_spec(source, kind)
        if kind == "chain":
            spec = jobs_starvation.make_spec(source)
        self.submit(job, spec)
        if source.random() < _DEADLY_SHARE:
            step = source.randrange(len(spec.steps))
            index = source.randrange(spec.steps[step].count)
            self.deadly.add(specs.TaskRef(job, 0, step, index))

    def _leave(self, worker):
        """Shuts a worker down in an orderly way; it is back later."""
        if not worker.is_up or worker.is_cut_off:
            return
        self.crash_worker(worker)
        self.call(calls.WorkerLeft(worker.name, worker.born_wall_ms))
