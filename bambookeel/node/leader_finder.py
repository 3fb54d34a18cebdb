"""Finds out who leads, from seeds and from what others tell.

Every node keeps this view, with disk or without. It asks while it knows no
leader, and confirms the one that it knows from time to time; readiness follows
from it.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages

_ASK_PERIOD_MS = 150
_CONFIRM_PERIOD_MS = 500
# A leader that has not confirmed itself for so long is asked for again.
_CONFIRMED_FOR_MS = 1_200


@dataclasses.dataclass(slots=True)
class LeaderView:
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
    confirmed_ms: int = -_CONFIRMED_FOR_MS
    voters: tuple[ids.ProcessId, ...] = ()
    asked_ms: int = 0

    def is_confirmed(self, now_ms: int) -> bool:
        """Tells whether the leader has lately said that it leads.

        Args:
            now_ms: The time.

        Returns:
            Whether it has.
        """
        return (
            bool(self.leader) and now_ms - self.confirmed_ms < _CONFIRMED_FOR_MS
        )


def choose_peers_to_ask(
    view: LeaderView, now_ms: int
) -> tuple[ids.ProcessId, ...]:
    """Chooses whom to ask now.

    Args:
        view: What is believed.
        now_ms: The time.

    Returns:
        Processes to ask; empty when none needs to be.
    """
    is_confirmed = view.is_confirmed(now_ms)
    period_ms = _CONFIRM_PERIOD_MS if is_confirmed else _ASK_PERIOD_MS
    if now_ms - view.asked_ms < period_ms:
        return ()
    view.asked_ms = now_ms
    if is_confirmed:
        return (view.leader,)
    asked = dict.fromkeys((*view.seeds, *view.voters))
    if view.leader:
        asked[view.leader] = None
    # The own replica may be the one that leads.
    asked[view.own] = None
    return tuple(asked)


def update_view(
    view: LeaderView,
    peer: ids.ProcessId,
    answer: messages.LeaderKnown,
    now_ms: int,
) -> bool:
    """Takes in what a process says.

    Args:
        view: What is believed.
        peer: Who says it.
        answer: What it says.
        now_ms: The time.

    Returns:
        Whether another leader is believed in now.
    """
    before = view.leader
    if answer.voters and answer.term >= view.term:
        view.voters = answer.voters
    if answer.is_certain and answer.term >= view.term:
        view.leader = peer
        view.term = answer.term
        view.confirmed_ms = now_ms
    elif answer.leader and answer.term > view.term:
        view.leader = answer.leader
        view.term = answer.term
    elif answer.leader and not view.is_confirmed(now_ms):
        if answer.term == view.term and answer.leader != peer:
            view.leader = answer.leader
    return view.leader != before


def mark_unconfirmed(view: LeaderView, leader: ids.ProcessId) -> None:
    """Doubts a leader that did not answer or said that it does not lead.

    Args:
        view: What is believed.
        leader: The leader in question.
    """
    if view.leader == leader:
        view.confirmed_ms = -_CONFIRMED_FOR_MS
        view.asked_ms = 0
