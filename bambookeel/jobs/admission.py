"""Decides whether a job is taken in or turned away at once.

Turned away is what cannot end while its caller still has a use for it: the
work that is ahead of it in its service, divided by what the service's workers
can do, is compared with the time that the job has.
"""

import dataclasses

# The least and the longest time after which a refused caller may come back.
MIN_RETRY_MS = 500
MAX_RETRY_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """What a service has to do and can do.

    Attributes:
        capacity_milli: Processor time of its usable workers, less what
            standing tasks take.
        open_work: Work of its open jobs, in thousandths of a core times ms.
    """

    capacity_milli: int
    open_work: float


def compute_retry_ms(
    load: ServiceLoad, job_work: float, limit_ms: float
) -> int | None:
    """Decides on one job.

    Args:
        load: The service's load, without the job.
        job_work: The job's own work.
        limit_ms: How long the job is of use.

    Returns:
        None when it is taken in; else when to come back.
    """
    if load.capacity_milli <= 0:
        # Workers may be on their way; the queue itself is the only measure.
        return None
    wait_ms = (load.open_work + job_work) / load.capacity_milli
    if wait_ms <= limit_ms:
        return None
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms - limit_ms)))
