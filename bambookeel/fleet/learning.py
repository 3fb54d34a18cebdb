"""Estimates of what a task needs, from reports rather than declarations.

Declared sizes are far off either way. Until usage has been reported a task
counts with its declared size, corrected by what the same team's other jobs used
of theirs; afterwards with its own peak and a margin. An estimate is never below
a floor, so that a lagging report cannot fill a worker with idle-looking tasks.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import statistics

from bambookeel.fleet import jobs

# Declared sizes are corrected by at most this factor either way.
_MAX_CORRECTION = 4.0
# Room above the largest usage seen.
_PEAK_MARGIN = 1.15
# Jobs of a team with known usage before its correction counts.
_MIN_SAMPLES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """What one task takes of a worker.

    Attributes:
        cores: Cores.
        memory_mb: Memory.
        accelerators: Accelerators.
    """

    cores: float
    memory_mb: float
    accelerators: int


@dataclasses.dataclass(frozen=True, slots=True)
class Correction:
    """Usual ratios of use to declaration in one team.

    Attributes:
        cores: Ratio for cores.
        memory: Ratio for memory.
    """

    cores: float = 1.0
    memory: float = 1.0


def _clamp(ratio: float) -> float:
    return min(max(ratio, 1.0 / _MAX_CORRECTION), _MAX_CORRECTION)


def learn_corrections(
    all_jobs: Iterable[jobs.Job],
) -> dict[str, Correction]:
    """Learns each team's usual ratio of use to declaration.

    Args:
        all_jobs: Jobs, those with known usage among them.

    Returns:
        Corrections by team.
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
    """Estimates what one task of a job needs.

    Args:
        job: The job.
        corrections: Corrections by team.

    Returns:
        The estimate.
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
