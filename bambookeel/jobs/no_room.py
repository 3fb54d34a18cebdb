"""Remembers during a plan which needs fit on no worker.

Many waiting tasks are alike. While a plan is made, workers only fill up, so
that what has fitted on none of them needs no second search.
"""

import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import placing
from bambookeel.jobs import specs

# What excludes a worker for a task of one of these kinds excludes it for a task
# of the kind under which they are listed too.
_WEAKER = {
    placing.Isolation.NONE: (placing.Isolation.NONE,),
    placing.Isolation.PREFERRED: (
        placing.Isolation.NONE,
        placing.Isolation.PREFERRED,
    ),
    placing.Isolation.REQUIRED: (
        placing.Isolation.NONE,
        placing.Isolation.PREFERRED,
        placing.Isolation.REQUIRED,
    ),
    placing.Isolation.ALONE: (
        placing.Isolation.NONE,
        placing.Isolation.ALONE,
    ),
}
ORDER = tuple(_WEAKER)


@dataclasses.dataclass(slots=True)
class NoRoom:
    """Needs that fit on no worker of a service, in one plan.

    Attributes:
        found: Needs by label and isolation; none is at least another one.
        special_jobs: Jobs with a suspect task that has just started, for which
            workers are kept, or, while workers crash, with any runs. They may
            use workers that other jobs may not, so that a search by another job
            says nothing about them.
        has_occupants: Whether jobs keep others from their workers.
    """

    found: dict[tuple[str, placing.Isolation], list[specs.Resources]] = (
        dataclasses.field(default_factory=dict)
    )
    special_jobs: set[str] = dataclasses.field(default_factory=set)
    has_occupants: bool = False

    def note_kept(self, capacities: list[placing.FreeCapacity]) -> None:
        """Notes the jobs that may use workers which others may not.

        Args:
            capacities: Free capacities of the workers when the plan begins.
        """
        for capacity in capacities:
            self.special_jobs.update(capacity.isolated_jobs)
            if capacity.occupants is not None:
                self.has_occupants = True
                self.special_jobs.update(capacity.occupants)
            if capacity.kept_for:
                self.special_jobs.add(capacity.kept_for)

    def note_placed(
        self, step: book_records.Step, isolation: placing.Isolation
    ) -> None:
        """Notes that a task, or a gang, has been placed.

        Args:
            step: Step of the task.
            isolation: How far it must be kept apart.
        """
        job = step.key[0]
        if isolation is placing.Isolation.NONE:
            if self.has_occupants:
                self.special_jobs.add(job)
            return
        if job in self.special_jobs:
            # Its worker may be less isolated than before.
            self.found.clear()
        self.special_jobs.add(job)

    def add(
        self, step: book_records.Step, isolation: placing.Isolation
    ) -> None:
        """Adds the needs of a task for which no worker was found.

        Args:
            step: Step of the task, which needs no advice.
            isolation: How far it must be kept apart.
        """
        if step.spec.max_per_instance or isolation not in _WEAKER:
            return
        needs = step.spec.reserved
        key = (step.spec.label, isolation)
        known = self.found.get(key, [])
        self.found[key] = [
            other for other in known if not needs.fits_in(other)
        ] + [needs]

    def includes(
        self, step: book_records.Step, isolation: placing.Isolation
    ) -> bool:
        """Returns whether a task is known to fit on no worker.

        Args:
            step: Step of the task.
            isolation: How far it must be kept apart.

        Returns:
            False if it is not known.
        """
        if not self.found or step.key[0] in self.special_jobs:
            return False
        if self.has_occupants and step.spec.is_standing:
            # Jobs that must be alone do not keep it from their workers.
            return False
        needs = step.spec.reserved
        labels = ("", step.spec.label) if step.spec.label else ("",)
        for each in _WEAKER.get(isolation, ()):
            for label in labels:
                for known in self.found.get((label, each), ()):
                    if known.fits_in(needs):
                        return True
        return False
