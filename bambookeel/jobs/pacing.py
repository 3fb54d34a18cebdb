"""Throttles filler tasks so that serving tasks beside them meet their targets.

A serving task reports its tail latency. When that approaches the target, all
filler tasks on the same worker are slowed down at once. Their pace is raised
again in small steps while the tail latency is well below the target. If a tail
latency stays above its target for too long, all filler tasks on the worker are
stopped.
"""

import dataclasses

FULL_PERCENT = 100
# Fillers are slowed down while a tail latency is at or above this share of its
# target. The target may be exceeded for seconds, which leaves time for several
# adjustments.
SLOW_DOWN_SHARE = 0.85
# The pace is raised while all tail latencies are at or below this share.
SPEED_UP_SHARE = 0.6
_SLOW_DOWN_FACTOR = 0.5
_SPEED_UP_PERCENT = 10
# A slower filler makes no useful progress and is stopped instead.
_MIN_PERCENT = 8
# Minimum time between two adjustments: a reported tail latency covers half a
# second.
ADJUST_INTERVAL_MS = 500


@dataclasses.dataclass(slots=True)
class Pace:
    """The pace of the filler tasks on one worker.

    Attributes:
        percent: Percentage of full speed.
        changed_ms: When the pace last changed, on the steady clock.
        over_since_ms: Since when a tail latency has been above its target; -1
            if none is.
    """

    percent: int = FULL_PERCENT
    changed_ms: int = 0
    over_since_ms: int = -1


def adjust(
    pace: Pace, tails: list[tuple[int, int]], max_over_ms: int, now_ms: int
) -> bool:
    """Adjusts the pace to the tail latencies in a new report.

    Args:
        pace: The pace, which is changed.
        tails: Tail latency and target of each serving task, in milliseconds.
        max_over_ms: How long a tail latency may be above its target before all
            filler tasks are stopped.
        now_ms: Steady-clock time in milliseconds.

    Returns:
        Whether the pace has changed.
    """
    worst = max((tail / target for tail, target in tails), default=0.0)
    if worst <= 1.0:
        pace.over_since_ms = -1
    elif pace.over_since_ms < 0:
        pace.over_since_ms = now_ms
    is_long_over = worst > 1.0 and now_ms - pace.over_since_ms >= max_over_ms
    if not is_long_over and now_ms - pace.changed_ms < ADJUST_INTERVAL_MS:
        return False
    percent = pace.percent
    if is_long_over:
        percent = 0
    elif worst >= SLOW_DOWN_SHARE:
        percent = int(percent * _SLOW_DOWN_FACTOR)
        if percent < _MIN_PERCENT:
            percent = 0
    elif worst <= SPEED_UP_SHARE:
        percent = min(FULL_PERCENT, percent + _SPEED_UP_PERCENT)
    if percent == pace.percent:
        return False
    pace.percent = percent
    pace.changed_ms = now_ms
    return True
