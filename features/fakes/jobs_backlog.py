"""Compares the book's open work with a count of all its jobs."""

import msgspec

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_runs
from features.fakes import jobs_simulation

_JOBS = 30
_SPAN_MS = 15_000


class RecountingSimulation(jobs_simulation.JobsSimulation):
    """Simulation that recounts the open work after each batch."""

    def commit(self):
        """Commits the batch and compares the sums."""
        is_committed = super().commit()
        book = self.scheduler.book
        kept = {
            (queue, team): (
                backlog.declared_work,
                backlog.standing_milli,
                backlog.filler_milli,
            )
            for queue, teams in book.open_work.by_queue.items()
            for team, backlog in teams.items()
        }
        if kept != count_open_work(book):
            self.violations.append("the open work is not that of the jobs")
        return is_committed


def count_open_work(book):
    """Counts declared work and standing processor time of all open jobs."""
    counted = {}
    for job in book.jobs.values():
        if not job.is_open or job.spec.is_timed:
            continue
        work, standing_milli, filler_milli = counted.get(
            (job.queue, job.team), (0, 0, 0)
        )
        for step in job.steps.values():
            for task in step.tasks:
                spec = step.spec
                if spec.is_standing and spec.is_filler:
                    filler_milli += spec.needs.cpu_milli
                elif spec.is_standing:
                    standing_milli += spec.needs.cpu_milli
                elif not spec.is_filler and not task.is_done:
                    work += spec.estimate_ms * spec.needs.cpu_milli
        counted[job.queue, job.team] = work, standing_milli, filler_milli
    return counted


def _make_spec(simulation):
    source = simulation.random
    kind = source.choice(["plain", "plain", "standing", "filler", "timed"])
    spec = jobs_runs.make_spec(source, kind in ("standing", "filler"))
    if kind == "filler":
        step = msgspec.structs.replace(spec.steps[0], is_filler=True)
        return specs.JobSpec("body", (step,))
    if kind == "timed":
        return msgspec.structs.replace(
            spec,
            occurrences=2,
            first_due_wall_ms=simulation.read_now().wall_ms + 500,
            period_ms=900,
        )
    return spec


def _rename(simulation, version):
    document = simulation.scheduler.book.configuration.document
    queue, free = document.queues
    coach, school = document.teams
    simulation.put_document(
        msgspec.structs.replace(
            document,
            version=version,
            queues=(
                msgspec.structs.replace(queue, name=f"orders-{version}"),
                free,
            ),
            teams=(msgspec.structs.replace(coach, name=f"c{version}"), school),
        )
    )


def simulate(seed):
    """Runs jobs of all kinds with faults, renames and new leaders.

    Args:
        seed: Seed of the simulation.

    Returns:
        The violations.
    """
    simulation = RecountingSimulation(seed)
    source = simulation.random
    simulation.failure_rate = source.choice([0.0, 0.05])
    jobs = {}
    for number in range(_JOBS):
        job = f"{number:016x}"
        key = source.choice(["key-coach", "key-school"])
        answer = simulation.submit(job, _make_spec(simulation), key)
        if isinstance(answer, calls.Done):
            jobs[job] = key
        simulation.advance(_SPAN_MS // _JOBS)
        if number % 10 == 9:
            _rename(simulation, number)
        if source.random() < 0.1:
            simulation.start_leader()
        if jobs and source.random() < 0.2:
            chosen = source.choice(list(jobs))
            simulation.cancel(chosen, jobs[chosen])
    return simulation.violations
