"""Records of runs that are assigned to workers, and when orders may be sent."""

from collections.abc import Mapping
import dataclasses

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


def raise_order_limits(
    assigned_runs: Mapping[specs.TaskRef, AssignedRun],
    command: commands.RepeatOrders,
) -> None:
    """Lets further answers to a worker carry the orders for some runs.

    Args:
        assigned_runs: Runs that are assigned to the worker; those that are not
            among them are ignored.
        command: Command that lists the runs.
    """
    for ref, run in command.runs:
        found = assigned_runs.get(specs.TaskRef(*ref))
        if found is not None and found.run == run:
            found.order_limit = max(found.order_limit, command.number)
