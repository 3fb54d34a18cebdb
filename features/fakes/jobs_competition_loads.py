"""Load patterns of callers who compete for too little capacity."""

import dataclasses

from bambookeel.jobs import specs

CORES = 32


def build_kind(steps, cores, ms):
    """Builds a job of steps of 8 tasks."""
    return specs.JobSpec(
        "body",
        tuple(
            specs.StepSpec(
                count=8,
                needs=specs.Resources(cores * 1_000, 100, 0),
                estimate_ms=ms,
                after=(i - 1,) if i else (),
            )
            for i in range(steps)
        ),
    )


KINDS = {
    "small": build_kind(1, 3, 700),
    "medium": build_kind(2, 6, 1_400),
    "large": build_kind(2, 13, 2_100),
}
MIXED = {"small": 0.5, "medium": 0.35, "large": 0.15}


def measure_core_s(kind):
    """Measures the work of a kind of job in core seconds."""
    return sum(
        step.count * step.needs.cpu_milli * step.estimate_ms / 1e6
        for step in KINDS[kind].steps
        if not step.is_standing
    )


@dataclasses.dataclass(frozen=True)
class Stream:
    """Jobs of one team in one queue that arrive at random for some time.

    Attributes:
        queue: Name of the queue.
        team: Name of the team.
        cores: Mean processor time that the jobs need.
        begin_ms: When the first may arrive.
        end_ms: When the last may arrive.
        mix: Share of each kind of job.
    """

    queue: str
    team: str
    cores: float
    begin_ms: int = 0
    end_ms: int = 8_000
    mix: dict = dataclasses.field(default_factory=lambda: dict(MIXED))


@dataclasses.dataclass(frozen=True)
class Pattern:
    """One load pattern.

    Attributes:
        members: Number of instances of each service.
        spare: Number of instances in the spare pool.
        queues: Service and priority of each queue.
        weights: Weight of each team.
        streams: Arrivals.
        leader_at_ms: When the leader changes; None if it does not.
    """

    members: dict
    spare: int
    queues: dict
    weights: dict
    streams: tuple
    leader_at_ms: int | None = None


def _build_burst(factor, leader_at_ms=None, total=1.5):
    # Five teams of equal weight need `total` times the pool; one of them sends
    # several times that.
    teams = [f"t{i}" for i in range(5)]
    share = 20 * CORES * total / len(teams)
    return Pattern(
        {"s0": 20, "s1": 3, "s2": 3, "s3": 3},
        0,
        {"q0": ("s0", 0)},
        dict.fromkeys(teams, 1.0),
        tuple(
            Stream("q0", team, share * (factor if team == "t0" else 1))
            for team in teams
        ),
        leader_at_ms,
    )


def _build_turn(members, spare, cores, mix):
    return Pattern(
        dict.fromkeys(("s0", "s1", "s2", "s3"), members),
        spare,
        {f"q{i}": (f"s{i}", 0) for i in range(4)},
        {"t0": 1.0, "t1": 1.0},
        tuple(
            Stream("q0", team, cores / 2, 0, 5_000, dict(mix))
            for team in ("t0", "t1")
        ),
    )


PATTERNS = {
    # A pool has nearly enough capacity: nothing is to change.
    "calm": _build_burst(0.0),
    "burst": _build_burst(4.9),
    # Not all can be completed while it is of use.
    "burst-long": _build_burst(4.9, total=3.0),
    "burst-leader": _build_burst(4.9, 3_000),
    # Many small jobs come with a few large ones.
    "sizes": Pattern(
        {"s0": 20, "s1": 3, "s2": 3, "s3": 3},
        0,
        {"q0": ("s0", 0)},
        {"t0": 1.0},
        (
            Stream("q0", "t0", 20 * CORES * 1.0, 0, 8_000, {"small": 1.0}),
            Stream("q0", "t0", 20 * CORES * 3.0, 0, 8_000, {"large": 1.0}),
        ),
    ),
    "mixed": Pattern(
        {"s0": 20, "s1": 3, "s2": 3, "s3": 3},
        0,
        {"q0": ("s0", 0)},
        {"t0": 1.0},
        (Stream("q0", "t0", 20 * CORES * 4),),
    ),
    # Two turns at a time compete for the spare instances.
    "priority-pools": Pattern(
        {"s0": 6, "s1": 6, "s2": 3, "s3": 3},
        10,
        {"q0": ("s0", 0), "q1": ("s1", 2)},
        {"t0": 1.0},
        tuple(
            Stream(queue, "t0", 14 * CORES * 2.5, 0, 5_000)
            for queue in ("q0", "q1")
        ),
    ),
    "priority-service": Pattern(
        {"s0": 16, "s1": 3, "s2": 3, "s3": 3},
        0,
        {"q0": ("s0", 0), "q1": ("s0", 2)},
        {"t0": 1.0},
        tuple(
            Stream(queue, "t0", 16 * CORES * 1.8, 0, 8_000)
            for queue in ("q0", "q1")
        ),
    ),
    # Everything beyond the pool's minimum is still in the spare pool.
    "turn": _build_turn(6, 16, 24 * CORES * 2.2, MIXED),
    # Nothing is left there; the other pools are idle at their minimum.
    "turn-no-spare": _build_turn(6, 0, 24 * CORES * 2.2, MIXED),
    # Each queue has a turn of 5 s, the next one begins a second earlier.
    "turns": Pattern(
        dict.fromkeys(("s0", "s1", "s2", "s3"), 6),
        6,
        {f"q{i}": (f"s{i}", 0) for i in range(4)},
        {"t0": 1.0},
        tuple(
            Stream(f"q{i}", "t0", 5 * 6 * CORES * 0.7, begin, begin + 5_000)
            for i in range(4)
            for begin in (4_000 * i, 4_000 * (i + 4))
        ),
    ),
}
