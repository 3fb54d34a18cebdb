"""Paces tasks that fill so that the tasks that serve beside them keep up.

A serving task reports the tail of its response times. When that nears its
target, everything that fills on the same worker is slowed down at once; the
pace is given back in small steps while the tail stays well below. A tail that
stays over its target for too long stops everything that fills.
"""

import dataclasses

FULL_PERCENT = 100
# Share of the target above which fillers are slowed down; the bound counts for
# seconds, so that there is time for several steps.
SLOW_AT = 0.85
# Share of the target below which pace is given back.
RELEASE_AT = 0.6
_SLOW_FACTOR = 0.5
_RELEASE_STEP = 10
# Below this a filler does nothing of use and is stopped altogether.
_MIN_PERCENT = 8
# Time between two steps: the tail covers half a second.
STEP_MS = 500


@dataclasses.dataclass(slots=True)
class Pace:
    """The pace of the tasks that fill on one worker.

    Attributes:
        percent: Share of their full speed.
        changed_ms: When it last changed.
        over_since_ms: Since when a tail has been over its target; -1 if none
            is.
    """

    percent: int = FULL_PERCENT
    changed_ms: int = 0
    over_since_ms: int = -1


def adjust(
    pace: Pace, tails: list[tuple[int, int]], over_ms: int, now_ms: int
) -> bool:
    """Adjusts the pace to the tails of a new report.

    Args:
        pace: The pace, which is changed.
        tails: Tail and target of each serving task, in milliseconds.
        over_ms: How long a tail may be over its target before everything that
            fills stops.
        now_ms: The time.

    Returns:
        Whether it has changed.
    """
    worst = max((tail / target for tail, target in tails), default=0.0)
    if worst <= 1.0:
        pace.over_since_ms = -1
    elif pace.over_since_ms < 0:
        pace.over_since_ms = now_ms
    is_long_over = worst > 1.0 and now_ms - pace.over_since_ms >= over_ms
    if not is_long_over and now_ms - pace.changed_ms < STEP_MS:
        return False
    percent = pace.percent
    if is_long_over:
        percent = 0
    elif worst >= SLOW_AT:
        percent = int(percent * _SLOW_FACTOR)
        if percent < _MIN_PERCENT:
            percent = 0
    elif worst <= RELEASE_AT:
        percent = min(FULL_PERCENT, percent + _RELEASE_STEP)
    if percent == pace.percent:
        return False
    pace.percent = percent
    pace.changed_ms = now_ms
    return True
