"""Chooses workers for waiting tasks.

Steps come in the order of their jobs' slack. Each task goes to the worker that
has the least free processor time of those that it fits on, so that large tasks
find free capacity and instances stay empty; standing tasks are spread instead.
"""

from collections.abc import Mapping
import dataclasses
import enum

from bambookeel.jobs import book_records
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table

# A task runs longer in another rack than its data. Avoiding that is worth this
# much idle processor time.
_REMOTE_DATA_PENALTY_MILLI = 20_000
# Where the time that is lost there is known, all that a worker may have free.
_REMOTE_PENALTY_MILLI = 100_000
# Room for which tasks of that rack wait is the last that others use.
_AWAITED_PENALTY_MILLI = 100_000
# A suspect worker is used only if the task fits on no other one.
_SUSPECT_PENALTY_MILLI = 1_000_000
# A task that may crash its worker and the tasks of other jobs share one only if
# they fit on no other.
_MAY_CRASH_PENALTY_MILLI = 200_000
# While workers crash, the tasks of a job go together, so that one of them costs
# few workers.
_TOGETHER_MILLI = 150_000


class Isolation(enum.Enum):
    """How far a task that may crash its worker is kept apart from other jobs.

    If it is preferred, the worker gets tasks of other jobs only if they fit
    nowhere else; if it is required, it gets none until the task has started. A
    task that is alone shares its worker with no other job at any time. A task
    that is held gets no worker for now.
    """

    NONE = "none"
    PREFERRED = "preferred"
    REQUIRED = "required"
    ALONE = "alone"
    HELD = "held"


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """Free resources of a worker while a plan is made.

    Attributes:
        worker: The worker.
        cpu_milli: Free processor time, in thousandths of a core.
        memory_mb: Free memory.
        gpus: Free accelerators.
        runs: Number of further runs that its reports can list.
        placed_by_step: Number of tasks that the plan has placed on the worker,
            by step.
        isolated_jobs: Jobs with a task that has just started on the worker and
            may crash it.
        kept_for: Job for which the worker gets no suspect tasks of other jobs;
            empty for none.
        occupants: Jobs with runs on the worker, and whether each may share it
            with others; None unless workers crash again and again.
        is_shared: Whether it may be shared all the same.
    """

    worker: worker_table.Worker
    cpu_milli: int
    memory_mb: int
    gpus: int
    runs: int
    placed_by_step: dict[book_records.StepKey, int]
    isolated_jobs: dict[str, Isolation]
    kept_for: str = ""
    occupants: dict[str, bool] | None = None
    is_shared: bool = False

    def list_other_isolations(self, job: str) -> list[Isolation]:
        """Lists the isolation of each other job that has just started a task.

        Args:
            job: Job that is left out.

        Returns:
            One entry for each job.
        """
        return [
            other for name, other in self.isolated_jobs.items() if name != job
        ]

    def _count_unsafe(self, job: str) -> int:
        """Counts the other jobs that may not share the worker.

        Args:
            job: Job that is left out.

        Returns:
            Number of jobs.
        """
        return sum(
            not may_share
            for name, may_share in (self.occupants or {}).items()
            if name != job
        )

    def admits(self, step: book_records.Step, isolation: Isolation) -> bool:
        """Returns whether other jobs let a task use the worker.

        Args:
            step: Step of the task.
            isolation: How far the task must be kept apart.

        Returns:
            False if the task or another job must not share the worker.
        """
        job = step.key[0]
        if isolation is not Isolation.NONE and self.kept_for not in ("", job):
            return False
        if self.isolated_jobs:
            others = self.list_other_isolations(job)
            if others and Isolation.REQUIRED in (isolation, *others):
                return False
        if not self.occupants or self.is_shared or step.spec.is_standing:
            return True
        if isolation is Isolation.ALONE:
            return all(name == job for name in self.occupants)
        return not self._count_unsafe(job)

    def measure_risk_milli(self, step: book_records.Step) -> int:
        """Measures the risk of a crash as idle processor time that it is worth.

        Args:
            step: Step of a task that may use the worker.

        Returns:
            Thousandths of a core; negative where its job already runs.
        """
        job = step.key[0]
        if self.occupants is None:
            if not self.isolated_jobs:
                return 0
            others = len(self.list_other_isolations(job))
            return others * _MAY_CRASH_PENALTY_MILLI
        risk_milli = self._count_unsafe(job) * _MAY_CRASH_PENALTY_MILLI
        if job in self.occupants and not step.spec.is_standing:
            risk_milli -= _TOGETHER_MILLI
        return risk_milli

    def fits(self, needs: specs.Resources) -> bool:
        """Returns whether a task fits on the worker.

        Args:
            needs: Resources of the task.

        Returns:
            True if each resource is sufficient.
        """
        return (
            self.runs > 0
            and needs.cpu_milli <= self.cpu_milli
            and needs.memory_mb <= self.memory_mb
            and needs.gpus <= self.gpus
        )

    def count_fitting(self, needs: specs.Resources, most: int) -> int:
        """Counts how many equal tasks fit on the worker.

        Args:
            needs: Resources of each task.
            most: Maximum to return.

        Returns:
            Number of tasks.
        """
        free = specs.Resources(self.cpu_milli, self.memory_mb, self.gpus)
        return needs.count_in(free, max(0, min(most, self.runs)))

    def reserve(
        self,
        key: book_records.StepKey,
        needs: specs.Resources,
        isolation: Isolation = Isolation.NONE,
        is_standing: bool = False,
        count: int = 1,
    ) -> None:
        """Reserves the resources of tasks.

        Args:
            key: Key of the tasks' step.
            needs: Resources of each task.
            isolation: How far the tasks must be kept apart.
            is_standing: Whether they are standing tasks.
            count: Number of the tasks.
        """
        if isolation is not Isolation.NONE:
            self.isolated_jobs[key[0]] = isolation
        if self.occupants is not None and not is_standing:
            may_share = isolation is Isolation.NONE
            self.occupants[key[0]] = may_share and self.occupants.get(
                key[0], True
            )
        self.cpu_milli -= count * needs.cpu_milli
        self.memory_mb -= count * needs.memory_mb
        self.gpus -= count * needs.gpus
        self.runs -= count
        self.placed_by_step[key] = self.placed_by_step.get(key, 0) + count


def measure_free(
    workers: list[worker_table.Worker],
    isolated_jobs: Mapping[specs.WorkerIncarnation, Mapping[str, Isolation]],
) -> list[FreeCapacity]:
    """Measures the free capacity of workers.

    Args:
        workers: Workers that may get work.
        isolated_jobs: Jobs of the tasks on each worker that may crash it.

    Returns:
        Free capacity of each worker.
    """
    capacities = []
    for worker in workers:
        free = worker.free
        capacities.append(
            FreeCapacity(
                worker,
                free.cpu_milli,
                free.memory_mb,
                free.gpus,
                worker_table.MAX_RUNS - worker.run_count,
                {},
                dict(isolated_jobs.get(worker.incarnation, {})),
            )
        )
    return capacities


def find_maximum(capacities: list[FreeCapacity]) -> specs.Resources:
    """Finds the largest free amount of each resource, over all workers.

    Args:
        capacities: Free capacities of the workers.

    Returns:
        A task that does not fit in this fits on no worker.
    """
    return specs.Resources(
        max((capacity.cpu_milli for capacity in capacities), default=0),
        max((capacity.memory_mb for capacity in capacities), default=0),
        max((capacity.gpus for capacity in capacities), default=0),
    )


def is_allowed(
    capacity: FreeCapacity,
    step: book_records.Step,
    tickets: Mapping[specs.WorkerIncarnation, str] | None,
) -> bool:
    """Returns whether one more task of a step may run on a worker.

    Args:
        capacity: Free capacity of the worker.
        step: Step of the task.
        tickets: Workers that the advisor allows; None if all are allowed.

    Returns:
        False if the advisor, the label or the limit of the step forbids it.
    """
    if tickets is not None and capacity.worker.incarnation not in tickets:
        return False
    spec = step.spec
    if spec.label and spec.label not in capacity.worker.report.labels:
        return False
    limit = spec.max_per_instance
    if not limit:
        return True
    return (
        step.count_runs(capacity.worker.incarnation)
        + capacity.placed_by_step.get(step.key, 0)
        < limit
    )


def _rate_other_rack(
    found: str, wanted: str, rack: str, awaited: frozenset[str]
) -> int:
    """Rates a worker in another rack than the one that a task wants.

    Args:
        found: Rack of the worker.
        wanted: Rack that the task wants; empty for none.
        rack: The same, where the time that is lost elsewhere is known.
        awaited: Racks for which tasks wait.

    Returns:
        Idle processor time that it is worth to avoid the worker, in thousandths
        of a core.
    """
    penalty_milli = 0
    if wanted:
        penalty_milli = (
            _REMOTE_PENALTY_MILLI if rack else _REMOTE_DATA_PENALTY_MILLI
        )
    if found in awaited:
        penalty_milli += _AWAITED_PENALTY_MILLI
    return penalty_milli


def is_spread(step: book_records.Step, isolation: Isolation) -> bool:
    """Returns whether the tasks of a step go to the emptiest workers.

    Args:
        step: The step.
        isolation: How far its tasks must be kept apart.

    Returns:
        True for standing tasks, so that the loss of one instance interrupts few
        of them, and for tasks that must be kept apart.
    """
    return step.spec.is_standing or isolation is not Isolation.NONE


def choose_worker(
    capacities: list[FreeCapacity],
    step: book_records.Step,
    now_ms: int,
    avoided: frozenset[str] = frozenset(),
    tickets: Mapping[specs.WorkerIncarnation, str] | None = None,
    isolation: Isolation = Isolation.NONE,
    rack: str = "",
    awaited: frozenset[str] = frozenset(),
) -> FreeCapacity | None:
    """Chooses the worker for one task of a step.

    Args:
        capacities: Free capacities of the service's workers.
        step: Step of the task.
        now_ms: Steady-clock time in milliseconds.
        avoided: Ids of workers that run the task, or on which it has failed;
            they are used only if the task fits on no other worker.
        tickets: Workers that the advisor allows, with their tickets; None if
            all are allowed.
        isolation: How far the task must be kept apart.
        rack: Rack that is used if the task fits there at all; empty if none is.
        awaited: Other racks, for which tasks wait; they are used only if the
            task fits in no other.

    Returns:
        Free capacity of the worker; None if the task fits on no worker or is
        held.
    """
    if isolation is Isolation.HELD:
        return None
    needs = step.spec.reserved
    wanted_rack = rack or step.spec.data_rack
    best: FreeCapacity | None = None
    best_score = 0
    for capacity in capacities:
        if not capacity.fits(needs):
            continue
        if not is_allowed(capacity, step, tickets):
            continue
        if not capacity.admits(step, isolation):
            continue
        score = capacity.cpu_milli
        if is_spread(step, isolation):
            score = -score
        score += capacity.measure_risk_milli(step)
        if capacity.worker.incarnation.worker in avoided:
            score += _SUSPECT_PENALTY_MILLI
        if wanted_rack or awaited:
            found_rack = capacity.worker.rack
            if found_rack != wanted_rack:
                score += _rate_other_rack(
                    found_rack, wanted_rack, rack, awaited
                )
        if capacity.worker.is_suspect(now_ms):
            score += _SUSPECT_PENALTY_MILLI
        if best is None or score < best_score:
            best, best_score = capacity, score
    return best
