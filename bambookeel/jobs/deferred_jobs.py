"""The last choice of deferred jobs of a service."""

import dataclasses

from bambookeel.jobs import work_ahead


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredJobs:
    """The last choice of deferred jobs of a service.

    Attributes:
        chosen_ms: When it was made, on the steady clock in milliseconds.
        jobs: Ids of the deferred jobs.
        ahead: Work of the other open jobs, by objective.
    """

    chosen_ms: int
    jobs: frozenset[str]
    ahead: work_ahead.WorkAhead
