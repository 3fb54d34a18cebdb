"""Records of runs that are assigned to workers, and when orders may be sent."""

from collections.abc import Mapping
import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import specs


def compute_first_limit(report_number: int) -> int:
    """Computes which answers may carry the order for a run at first.

    Args:
        report_number: Number of the worker's last report before the
            assignment, which may not have been answered yet.

    Returns:
        Number of the last report whose answer may carry it.
    """
    return report_number + 1


@dataclasses.dataclass(slots=True)
class AssignedRun:
    """A run that is assigned to a worker, which may not know of it yet.

    Attributes:
        task: Task of the run.
        run: Number of the run.
        report_number: Number of the worker's last report before the
            assignment.
        order_limit: Number of the last report whose answer may have carried or
            may carry the order.
        ticket: The advisor's approval; empty where none is needed.
        instance: Instance that the worker runs on; empty if unknown.
        assigned_wall_ms: Unix time in milliseconds of the assignment; 0 if
            unknown.
    """

    task: specs.TaskRef
    run: int
    report_number: int
    order_limit: int
    ticket: str
    instance: str = ""
    assigned_wall_ms: int = 0

    @classmethod
    def from_command(
        cls, command: commands.AssignRuns, assignment: commands.Assignment
    ) -> "AssignedRun":
        """Builds a run that has just been assigned.

        Args:
            command: Command that assigned it.
            assignment: Its part of the command.

        Returns:
            The run, whose order may go with the answers to the last report and
            to the next one.
        """
        return cls(
            specs.TaskRef(*assignment.task),
            assignment.run,
            command.heard,
            compute_first_limit(command.heard),
            assignment.ticket,
            command.instance,
            command.at_wall_ms,
        )

    def adopt(self, report_number: int) -> "AssignedRun":
        """Builds the run as assigned to a later life of its worker.

        Args:
            report_number: Number of the report of that life which lists it.

        Returns:
            The run. Earlier reports, which may still arrive, do not show
            whether it has been received.
        """
        return dataclasses.replace(
            self, report_number=report_number, order_limit=report_number
        )


def apply_to_orders(
    assigned_runs: dict[
        specs.WorkerIncarnation, dict[specs.TaskRef, AssignedRun]
    ],
    jobs: Mapping[str, book_records.Job],
    command: commands.RepeatOrders | commands.AdoptRuns,
) -> None:
    """Applies a command that concerns the orders for assigned runs.

    Args:
        assigned_runs: Assigned runs by worker, which are changed.
        jobs: All jobs, whose tasks are changed.
        command: A committed command; runs that are not assigned to the worker
            that it names are ignored.
    """
    match command:
        case commands.RepeatOrders():
            _raise_order_limits(assigned_runs.get(command.life, {}), command)
        case commands.AdoptRuns():
            of_former = assigned_runs.get(command.former, {})
            adopted = _adopt_runs(
                of_former, assigned_runs.get(command.life, {}), command
            )
            for ref, run in adopted.items():
                assigned_runs.setdefault(command.life, {})[ref] = run
                step = jobs[ref.job].steps[ref.occurrence, ref.step]
                task = step.tasks[ref.task_index]
                step.remove_run(task, run.run)
                step.add_run(task, run.run, command.life)
            if not of_former:
                assigned_runs.pop(command.former, None)


def _raise_order_limits(
    assigned_runs: Mapping[specs.TaskRef, AssignedRun],
    command: commands.RepeatOrders,
) -> None:
    for ref, run in command.runs:
        found = assigned_runs.get(specs.TaskRef(*ref))
        if found is not None and found.run == run:
            found.order_limit = max(found.order_limit, command.number)


def _adopt_runs(
    of_former: dict[specs.TaskRef, AssignedRun],
    of_later: Mapping[specs.TaskRef, AssignedRun],
    command: commands.AdoptRuns,
) -> dict[specs.TaskRef, AssignedRun]:
    """Takes runs from a former life of a worker.

    Args:
        of_former: Runs that are assigned to the former life, which are changed.
        of_later: Runs that are assigned to the later life.
        command: Command that lists the runs.

    Returns:
        The runs as assigned to the later life.
    """
    adopted = {}
    for task, number in command.runs:
        ref = specs.TaskRef(*task)
        found = of_former.get(ref)
        if found is None or found.run != number or ref in of_later:
            continue
        del of_former[ref]
        adopted[ref] = found.adopt(command.number)
    return adopted
