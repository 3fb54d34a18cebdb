"""Finds out who leads, from seeds and from what others tell.

Every node keeps this belief, with disk or without. It asks while it knows no
leader, and confirms the one that it knows from time to time; readiness follows
from it.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages

_ASK_PERIOD_MS = 150
_CONFIRM_PERIOD_MS = 500
# A leader that has not confirmed itself for so long is asked for again.
_DOUBT_MS = 1_200


@dataclasses.dataclass(slots=True)
class Belief:
    """What a node believes about the leader.

    Attributes:
        own: Own process id.
        seeds: Processes of the settings.
        leader: The leader; empty for none.
        term: The highest term heard of.
        confirmed_ms: When the leader last said that it leads.
        voters: Processes that may lead.
        asked_ms: When it was last asked.
    """

    own: ids.ProcessId
    seeds: tuple[ids.ProcessId, ...]
    leader: ids.ProcessId = ids.ProcessId("")
    term: int = 0
    confirmed_ms: int = -_DOUBT_MS
    voters: tuple[ids.ProcessId, ...] = ()
    asked_ms: int = 0

    def is_confirmed(self, now_ms: int) -> bool:
        """Tells whether the leader has lately said that it leads.

        Args:
            now_ms: The time.

        Returns:
            Whether it has.
        """
        return bool(self.leader) and now_ms - self.confirmed_ms < _DOUBT_MS


def choose_asked(belief: Belief, now_ms: int) -> tuple[ids.ProcessId, ...]:
    """Chooses whom to ask now.

    Args:
        belief: What is believed.
        now_ms: The time.

    Returns:
        Processes to ask; empty when none needs to be.
    """
    is_sure = belief.is_confirmed(now_ms)
    period_ms = _CONFIRM_PERIOD_MS if is_sure else _ASK_PERIOD_MS
    if now_ms - belief.asked_ms < period_ms:
        return ()
    belief.asked_ms = now_ms
    if is_sure:
        return (belief.leader,)
    asked = dict.fromkeys((*belief.seeds, *belief.voters))
    if belief.leader:
        asked[belief.leader] = None
    # The own replica may be the one that leads.
    asked[belief.own] = None
    return tuple(asked)


def take_answer(
    belief: Belief,
    peer: ids.ProcessId,
    answer: messages.LeaderKnown,
    now_ms: int,
) -> bool:
    """Takes in what a process says.

    Args:
        belief: What is believed.
        peer: Who says it.
        answer: What it says.
        now_ms: The time.

    Returns:
        Whether another leader is believed in now.
    """
    before = belief.leader
    if answer.voters and answer.term >= belief.term:
        belief.voters = answer.voters
    if answer.is_certain and answer.term >= belief.term:
        belief.leader = peer
        belief.term = answer.term
        belief.confirmed_ms = now_ms
    elif answer.leader and answer.term > belief.term:
        belief.leader = answer.leader
        belief.term = answer.term
    elif answer.leader and not belief.is_confirmed(now_ms):
        if answer.term == belief.term and answer.leader != peer:
            belief.leader = answer.leader
    return belief.leader != before


def doubt(belief: Belief, leader: ids.ProcessId) -> None:
    """Doubts a leader that did not answer or said that it does not lead.

    Args:
        belief: What is believed.
        leader: The leader in question.
    """
    if belief.leader == leader:
        belief.confirmed_ms = -_DOUBT_MS
        belief.asked_ms = 0
