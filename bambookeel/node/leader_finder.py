"""Determines the leader from the answers of seeds and other processes.

Every node keeps such a view, with or without a disk. While no leader is known,
the node asks often; it asks a known leader at intervals whether it still leads.
A node is ready while its leader is confirmed.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages

_ASK_PERIOD_MS = 150
_CONFIRM_PERIOD_MS = 500
# A leader counts as confirmed for this long after it last said that it leads.
_CONFIRMED_FOR_MS = 1_200


@dataclasses.dataclass(slots=True)
class LeaderView:
    """A node's information about the leader.

    Attributes:
        own: The node's own process id.
        seeds: Processes from the settings that are asked who leads.
        leader: The assumed leader; empty if none is known.
        term: Highest term that an accepted answer named.
        confirmed_ms: When the leader last said itself that it leads.
        voters: Processes that may become the leader.
        asked_ms: When a question was last sent.
        known_ms: When a leader was last confirmed, or the process started;
            unlike `confirmed_ms` it stays when the leader stops answering.
    """

    own: ids.ProcessId
    seeds: tuple[ids.ProcessId, ...]
    leader: ids.ProcessId = ids.ProcessId("")
    term: int = 0
    confirmed_ms: int = -_CONFIRMED_FOR_MS
    voters: tuple[ids.ProcessId, ...] = ()
    asked_ms: int = 0
    known_ms: int = 0

    def measure_outage_ms(self, now_ms: int) -> int:
        """Measures for how long no leader has been known to lead.

        Args:
            now_ms: Steady time in milliseconds.

        Returns:
            Milliseconds since the last confirmation.
        """
        return now_ms - self.known_ms

    def find_other(self, now_ms: int) -> str:
        """Finds another process that leads.

        Args:
            now_ms: Steady time in milliseconds.

        Returns:
            Its process id; empty if no leader is confirmed or this process
            leads.
        """
        if not self.is_confirmed(now_ms) or self.leader == self.own:
            return ""
        return self.leader

    def is_confirmed(self, now_ms: int) -> bool:
        """Returns whether the leader has recently said that it leads.

        Args:
            now_ms: Steady time in milliseconds.

        Returns:
            Whether the confirmation is still recent enough.
        """
        return (
            bool(self.leader) and now_ms - self.confirmed_ms < _CONFIRMED_FOR_MS
        )


def choose_peers_to_ask(
    view: LeaderView, now_ms: int
) -> tuple[ids.ProcessId, ...]:
    """Chooses the processes to ask who leads, and records the question.

    Args:
        view: View to update; its `asked_ms` changes if processes are chosen.
        now_ms: Steady time in milliseconds.

    Returns:
        Processes to ask; empty until the next question is due.
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
    # The node's own replica may be the leader.
    asked[view.own] = None
    return tuple(asked)


def update_view(
    view: LeaderView,
    peer: ids.ProcessId,
    answer: messages.LeaderKnown,
    now_ms: int,
) -> bool:
    """Updates the view with the answer of another process.

    Args:
        view: View to update.
        peer: Process that sent the answer.
        answer: The answer; certain only if the sender itself leads.
        now_ms: Steady time in milliseconds.

    Returns:
        Whether the assumed leader has changed.
    """
    before = view.leader
    if answer.voters and answer.term >= view.term:
        view.voters = answer.voters
    if answer.is_certain and answer.term >= view.term:
        view.leader = peer
        view.term = answer.term
        view.confirmed_ms = now_ms
        view.known_ms = now_ms
    elif answer.leader and answer.term > view.term:
        view.leader = answer.leader
        view.term = answer.term
    elif answer.leader and not view.is_confirmed(now_ms):
        if answer.term == view.term and answer.leader != peer:
            view.leader = answer.leader
    return view.leader != before


def mark_unconfirmed(view: LeaderView, leader: ids.ProcessId) -> None:
    """Marks a leader as unconfirmed, so that the node asks again at once.

    Called when the leader did not answer or said that it does not lead.

    Args:
        view: View to update.
        leader: Process that was called; ignored if it is not the assumed
            leader any more.
    """
    if view.leader == leader:
        view.confirmed_ms = -_CONFIRMED_FOR_MS
        view.asked_ms = 0
