"""Bounds what one plan may cost, so that the leader's turns stay short.

Load pattern: a job has thousands of tasks, or many steps have tasks that fit on
no worker. While a plan is made, no report is answered and no lease is renewed;
a plan over all tasks would take longer than these last. A plan that has cost
enough stops, and the next one begins with the steps that it has not reached.
"""

from collections.abc import Iterable
import dataclasses

from bambookeel.jobs import book_records

# What a plan may cost, in looks at one worker for one task, which take about a
# microsecond each.
MAX_COST = 50_000
# Cost of a task besides the looks at workers: the checks of its team, evidence
# and rack, and the assignment with its log line.
_TASK_COST = 30
# The same for each task of a gang, whose checks are made once.
_GANG_TASK_COST = 10
# What the search for starving steps of one service may cost beyond the plan,
# which may have stopped before it.
MAX_STARVING_COST = 10_000


@dataclasses.dataclass(slots=True)
class Budget:
    """What a plan may still cost.

    Attributes:
        left: Cost that is left; negative if the last step cost more.
        reached: Steps that the plan has reached.
    """

    left: int = MAX_COST
    reached: set[book_records.StepKey] = dataclasses.field(default_factory=set)

    @property
    def is_spent(self) -> bool:
        """Whether the plan must stop."""
        return self.left <= 0

    def spend_on_task(self, workers: int) -> None:
        """Spends what the search for one task costs.

        Args:
            workers: Number of the workers.
        """
        self.left -= _TASK_COST + workers

    def spend_on_gang(self, tasks: int, workers: int) -> None:
        """Spends what the search for a gang costs.

        Args:
            tasks: Number of its tasks.
            workers: Number of the workers.
        """
        self.left -= _GANG_TASK_COST * tasks + workers

    def begin_step(self, step: book_records.Step) -> bool:
        """Notes that the plan has reached a step, if it may go on.

        Args:
            step: The next step.

        Returns:
            False if the plan must stop before the step. A gang is placed as a
            whole, so that one for which too little is left waits for the next
            plan, which may exceed the bound for it.
        """
        cost = 0
        if step.spec.is_gang:
            cost = min(MAX_COST, _GANG_TASK_COST * len(step.tasks))
        if self.is_spent or cost > self.left:
            self.left = min(self.left, 0)
            return False
        self.reached.add(step.key)
        return True

    def list_skipped(
        self, steps: Iterable[book_records.Step]
    ) -> frozenset[book_records.StepKey]:
        """Lists the steps with which the next plan begins.

        Args:
            steps: All steps with work.

        Returns:
            Those that the plan has not reached; none if it was not stopped.
        """
        if not self.is_spent:
            return frozenset()
        return frozenset(step.key for step in steps) - self.reached
