"""Finds after which turns of demand the turns of a queue begin.

Load pattern: queues take turns of demand, each after a steady interval, or each
when another queue's turn has lasted for some time.
"""

import dataclasses
import math

# Number of intervals that must agree before the queue's next turn is forecast
# from its own turns; one is enough if another queue's turns recur after the
# same time. From other queues' turns, more are needed, since among many queues
# the intervals to one of them agree by chance.
_OWN_INTERVALS = 2
_CHANCE_OF_AGREEMENT = 0.05
# The longest and the shortest interval may differ from the median by this. An
# instance that comes as much too early costs less than a move.
_MAX_DEVIATION_MS = 1_200
# The same for two intervals of different queues; intervals that have nothing to
# do with each other agree less often.
_MAX_DIFFERENCE_MS = 500
# A forecast that is wrong by less is right: it is the least deviation that a
# few observations can show.
MIN_DEVIATION_MS = 400


@dataclasses.dataclass(frozen=True, slots=True)
class Rule:
    """Interval from the begin of a leader's turn to that of a follower's.

    Attributes:
        leader: Name of the queue whose turn begins first; a queue may follow
            its own last turn.
        interval_ms: Time between the two begins in milliseconds.
        deviation_ms: By how much the interval has differed.
    """

    leader: str
    interval_ms: int
    deviation_ms: int


def find_rule(
    queue: str, begins: list[int], others: dict[str, list[int]]
) -> Rule | None:
    """Finds the turns after which those of a queue begin most steadily.

    Args:
        queue: Name of the queue.
        begins: When its turns began, in order.
        others: When the turns of other queues began, in order, by queue.

    Returns:
        The rule with the least deviation; None if nothing recurs.
    """
    own = [later - earlier for earlier, later in zip(begins, begins[1:])]
    rules = [_make_rule(queue, own, _OWN_INTERVALS)]
    needed = 1 + math.ceil(
        math.log(max(1, len(others)) / _CHANCE_OF_AGREEMENT)
        / -math.log(_CHANCE_OF_AGREEMENT)
    )
    for name, leader_begins in others.items():
        if len(own) < _OWN_INTERVALS:
            rules.append(confirm_rule(queue, begins, leader_begins))
        if len(begins) >= needed:
            intervals = _list_intervals(begins, leader_begins)
            rules.append(_make_rule(name, intervals, needed))
    found = [rule for rule in rules if rule is not None]
    return min(found, key=lambda rule: rule.deviation_ms, default=None)


def confirm_rule(
    queue: str, begins: list[int], other_begins: list[int]
) -> Rule | None:
    """Makes a rule of the only interval between the turns of a queue.

    Args:
        queue: Name of the queue.
        begins: When its turns began, in order.
        other_begins: When the turns of another queue began, in order.

    Returns:
        The rule if the last interval of the other queue is as long; None
        otherwise.
    """
    if len(begins) != _OWN_INTERVALS or len(other_begins) < _OWN_INTERVALS:
        return None
    interval_ms = begins[-1] - begins[-2]
    other_ms = other_begins[-1] - other_begins[-2]
    if abs(interval_ms - other_ms) > _MAX_DIFFERENCE_MS:
        return None
    return _make_rule(queue, [interval_ms, other_ms], _OWN_INTERVALS)


def _list_intervals(begins: list[int], leader_begins: list[int]) -> list[int]:
    """Lists the time from the last turn of a leader to each turn.

    Args:
        begins: When the turns of a queue began, in order.
        leader_begins: When those of the leader began, in order.

    Returns:
        Milliseconds, for the turns before which the leader had one.
    """
    intervals = []
    for previous_ms, begin_ms in zip((-math.inf, *begins), begins):
        before = [each for each in leader_begins if each < begin_ms]
        if before and before[-1] >= previous_ms:
            intervals.append(begin_ms - before[-1])
    return intervals


def _make_rule(leader: str, intervals: list[int], needed: int) -> Rule | None:
    """Makes a rule of intervals, unless they are too few or differ too much.

    Args:
        leader: Name of the queue from whose turns they are measured.
        intervals: Milliseconds.
        needed: Number of the newest intervals that must agree.

    Returns:
        The rule, or None.
    """
    if len(intervals) < needed:
        return None
    middle_ms = sorted(intervals)[len(intervals) // 2]
    deviation_ms = max(abs(each - middle_ms) for each in intervals)
    if deviation_ms > _MAX_DEVIATION_MS:
        return None
    return Rule(leader, middle_ms, max(MIN_DEVIATION_MS, deviation_ms))
