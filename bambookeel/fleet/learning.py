"""Estimates the resources that a task needs from reported usage.

Declared sizes are often far too large or too small. Until usage has been
reported, the estimate is the declared size times the median ratio of use to
declaration in the same team's other jobs; afterwards it is the job's own peak
plus a margin. An estimate is never below a floor: reports lag, and a worker
must not be overfilled with tasks that only seem idle.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import statistics

from bambookeel.fleet import jobs

# Limit on the correction of a declared size, up or down.
_MAX_CORRECTION = 4.0
# Margin above the largest usage reported.
_PEAK_MARGIN = 1.15
# Jobs with known usage that a team needs for a correction.
_MIN_SAMPLES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Resources that one task needs on a worker.

    Attributes:
        cores: Number of cores, possibly fractional.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
    """

    cores: float
    memory_mb: float
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class Correction:
    """Median ratios of use to declaration in one team.

    Attributes:
        cores: Used cores divided by declared cores.
        memory: Used memory divided by declared memory.
    """

    cores: float = 1.0
    memory: float = 1.0


def _clamp(ratio: float) -> float:
    return min(max(ratio, 1.0 / _MAX_CORRECTION), _MAX_CORRECTION)


def learn_corrections(
    all_jobs: Iterable[jobs.Job],
) -> dict[str, Correction]:
    """Computes each team's median ratio of use to declaration.

    Args:
        all_jobs: All jobs; those without reported usage are ignored.

    Returns:
        Corrections by team; teams with too few jobs are left out.
    """
    cores: dict[str, list[float]] = {}
    memory: dict[str, list[float]] = {}
    for job in all_jobs:
        if not job.peak_memory_mb or not job.peak_cores:
            continue
        team = job.spec.team
        cores.setdefault(team, []).append(job.peak_cores / job.spec.cores)
        ratio = job.peak_memory_mb / job.spec.memory_mb
        memory.setdefault(team, []).append(ratio)
    return {
        team: Correction(
            _clamp(statistics.median(ratios)),
            _clamp(statistics.median(memory[team])),
        )
        for team, ratios in cores.items()
        if len(ratios) >= _MIN_SAMPLES
    }


def estimate_size(job: jobs.Job, corrections: Mapping[str, Correction]) -> Size:
    """Estimates the resources that one task of a job needs.

    Args:
        job: The job of the task.
        corrections: Corrections by team.

    Returns:
        The estimate, which may exceed the size of any worker.
    """
    spec = job.spec
    correction = corrections.get(spec.team, Correction())
    cores = spec.cores * correction.cores
    memory_mb = spec.memory_mb * correction.memory
    if job.peak_cores:
        cores = max(job.peak_cores * _PEAK_MARGIN, spec.cores / _MAX_CORRECTION)
    if job.peak_memory_mb:
        floor_mb = spec.memory_mb / _MAX_CORRECTION
        memory_mb = max(job.peak_memory_mb * _PEAK_MARGIN, floor_mb)
    return Size(cores, memory_mb, spec.accelerators)
