"""Remaining work of the open jobs, which admission is based on.

Load pattern: several times the usual number of jobs is handed in while a
thousand are open. Each submission needs the sums, so they are kept up to date
instead of being computed from all open jobs.
"""

import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import specs


@dataclasses.dataclass(slots=True)
class Backlog:
    """Remaining work of the open jobs of a team in a queue.

    Jobs on a timetable are left out.

    Attributes:
        declared_work: Work of the tasks that have not succeeded, by their
            declared run times, without standing and filler tasks; in
            thousandths of a core times milliseconds.
        standing_milli: Processor time of the standing tasks other than
            fillers, in thousandths of a core.
        filler_milli: Processor time of the standing fillers, in thousandths of
            a core.
        jobs: Number of the jobs.
    """

    declared_work: int = 0
    standing_milli: int = 0
    filler_milli: int = 0
    jobs: int = 0


class OpenWork:
    """Sums the remaining work of open jobs."""

    def __init__(self) -> None:
        # By queue and team.
        self.by_queue: dict[str, dict[str, Backlog]] = {}

    def add_job(self, job: book_records.Job) -> None:
        """Adds an open job.

        Args:
            job: A job that was admitted or whose queue or team has changed.
        """
        self._count_job(job, 1)

    def remove_job(self, job: book_records.Job) -> None:
        """Removes a job that ends.

        Args:
            job: The job, with its tasks as they were when it was open.
        """
        self._count_job(job, -1)

    def remove_tasks(
        self, job: book_records.Job, step: specs.StepSpec, count: int
    ) -> None:
        """Removes tasks that have succeeded from an open job.

        Args:
            job: Job of the tasks.
            step: Step of the tasks.
            count: Number of the tasks.
        """
        if job.spec.is_timed:
            return
        backlog = self.by_queue[job.queue][job.team]
        backlog.declared_work -= count * _measure_task(step)

    def _count_job(self, job: book_records.Job, sign: int) -> None:
        if job.spec.is_timed:
            return
        teams = self.by_queue.setdefault(job.queue, {})
        backlog = teams.setdefault(job.team, Backlog())
        for step in job.steps.values():
            left = len(step.tasks) - step.done_count
            backlog.declared_work += sign * left * _measure_task(step.spec)
        for spec in job.spec.steps:
            if not spec.is_standing:
                continue
            cpu_milli = sign * spec.count * spec.needs.cpu_milli
            if spec.is_filler:
                backlog.filler_milli += cpu_milli
            else:
                backlog.standing_milli += cpu_milli
        backlog.jobs += sign
        if not backlog.jobs:
            del teams[job.team]


def _measure_task(step: specs.StepSpec) -> int:
    if step.is_standing or step.is_filler:
        return 0
    return step.estimate_ms * step.needs.cpu_milli
