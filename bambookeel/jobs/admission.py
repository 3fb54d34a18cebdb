"""Admission control: decides whether a new job is admitted or rejected.

A job is rejected when it could not complete while its result is still of use
to its caller. The estimated time is the outstanding work, including that of
the job, divided by the available processor time; it is compared with the time
within which the job is of use. While several pools are full, the backlog of one
is shortened by the instances that others hand over, so that a job is rejected
only if it would also be too late with these.
"""

import dataclasses
import math

from bambookeel.jobs import rebalancing

# Bounds of the delay after which a rejected caller is told to retry.
MIN_RETRY_MS = 500
MAX_RETRY_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Outstanding work and available processor time of a service or a team.

    Attributes:
        capacity_milli: Processor time in thousandths of a core, less what
            standing tasks take.
        open_work: Remaining work of the open jobs, in thousandths of a core
            times milliseconds.
    """

    capacity_milli: int
    open_work: float


def _compute_wait_ms(load: Load, job_work: float) -> float:
    """Estimates when a job would be complete.

    Args:
        load: The load without the job.
        job_work: Work of the job, in thousandths of a core times milliseconds.

    Returns:
        Time from now in milliseconds; infinite without capacity.
    """
    if load.capacity_milli <= 0:
        return math.inf
    return (load.open_work + job_work) / load.capacity_milli


def compute_retry_ms(
    load: Load, shared_load: Load | None, job_work: float, limit_ms: float
) -> int | None:
    """Decides whether one job is admitted.

    Args:
        load: The load without the job.
        shared_load: Load of all pools between which instances can be handed
            over; None if that does not shorten the wait.
        job_work: Work of the job, in thousandths of a core times milliseconds.
        limit_ms: Time from now within which the job is of use.

    Returns:
        None if the job is admitted; otherwise the delay in milliseconds after
        which the caller may retry.
    """
    if load.capacity_milli <= 0:
        # Workers may still be starting, so that no time can be estimated; the
        # job waits in its queue.
        return None
    wait_ms = _compute_wait_ms(load, job_work)
    if shared_load is not None:
        shared_ms = _compute_wait_ms(shared_load, job_work)
        shared_ms = rebalancing.MIN_RATIO * shared_ms
        wait_ms = min(wait_ms, shared_ms + rebalancing.MIN_BACKLOG_MS)
    if wait_ms <= limit_ms:
        return None
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms - limit_ms)))
