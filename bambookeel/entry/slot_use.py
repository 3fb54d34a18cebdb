"""The use of one granted slot, from its connection to its release.

Owns the connection and the grant and ends both exactly once. The slot is
returned at once when the end of the work is known; otherwise it is held until
the request's deadline has passed at the backend server.
"""

import gevent

from bambookeel.core import faults
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import outstanding
from bambookeel.entry import releases
from bambookeel.net import answer_stream
from bambookeel.net import backend_client
from bambookeel.net import connection_pool
from bambookeel.runtime import clock

# A backend server counts its deadline from a little later than the entry.
_DEADLINE_MARGIN_MS = 200
# How long an answer that nobody wants any more is read for its end.
_DRAIN_MS = 5_000


class SlotUse:
    """One request's use of a slot."""

    def __init__(
        self,
        grant: messages.SlotGranted,
        connection: connection_pool.Connection,
        pool: connection_pool.ConnectionPool,
        slot_releases: releases.Releases,
        held: outstanding.OutstandingTable,
        deadline_ms: int,
    ) -> None:
        self.grant = grant
        self.connection = connection
        self._pool = pool
        self._releases = slot_releases
        self._outstanding = held
        self._deadline_ms = deadline_ms
        self._started_ms = clock.read_now_ms()
        self._ended = False

    def start_stream(self) -> None:
        """Notes that the slot is used for as long as the answer flows."""
        self._outstanding.start_stream(self.grant)
        self._releases.extend(self.grant)

    def _end(
        self,
        outcome: outcomes.OutcomeKind,
        backend_fault: bool,
        keep_connection: bool,
        hold_ms: int,
    ) -> None:
        faults.check_invariant(not self._ended, "a slot was returned twice")
        self._ended = True
        duration_ms = clock.read_now_ms() - self._started_ms
        end = releases.SlotEnd(outcome, backend_fault, duration_ms, hold_ms)
        self._releases.release(self.grant, end)
        if keep_connection:
            self._pool.give_back(self.connection)
        else:
            self._pool.discard(self.connection)

    def _get_hold_ms(self) -> int:
        remaining_ms = self._deadline_ms - clock.read_now_ms()
        return max(0, remaining_ms) + _DEADLINE_MARGIN_MS

    def end_answered(self, stream: answer_stream.AnswerStream) -> None:
        """Ends the use after a whole answer.

        Args:
            stream: The answer.
        """
        keep_connection = stream.may_keep_connection()
        self._end(outcomes.OutcomeKind.ANSWERED, False, keep_connection, 0)

    def end_not_run(self) -> None:
        """Ends the use when nothing was sent or nothing was run."""
        self._end(outcomes.OutcomeKind.NOT_RUN, True, False, 0)

    def end_unused(self) -> None:
        """Ends the use before anything was sent over the connection."""
        self._end(outcomes.OutcomeKind.NOT_RUN, False, True, 0)

    def end_unknown(self) -> None:
        """Ends the use when the work may be running unseen."""
        hold_ms = self._get_hold_ms()
        self._end(outcomes.OutcomeKind.UNKNOWN, True, False, hold_ms)

    def end_if_open(self) -> None:
        """Ends the use when its own task fails or is ended, if it is open."""
        if not self._ended:
            self.end_unknown()

    def end_cancelled(self, has_ended: bool) -> None:
        """Ends the use after its caller has gone.

        Args:
            has_ended: Whether the backend server has ended the work.
        """
        hold_ms = 0 if has_ended else self._get_hold_ms()
        self._end(outcomes.OutcomeKind.CANCELLED, False, False, hold_ms)

    def drain(self, stream: answer_stream.AnswerStream) -> None:
        """Reads the rest of an unwanted answer until its end is known.

        Args:
            stream: The answer.
        """
        backend_client.finish_sending(self.connection)
        gevent.spawn(self._read_to_end, stream)

    def _read_to_end(self, stream: answer_stream.AnswerStream) -> None:
        drain_until_ms = clock.read_now_ms() + _DRAIN_MS
        while True:
            part = stream.read_part(drain_until_ms)
            match part:
                case outcomes.Unknown():
                    self.end_cancelled(is_closed_by_peer(part))
                    return
                case b"":
                    self.end_cancelled(True)
                    return


def is_closed_by_peer(outcome: outcomes.Unknown) -> bool:
    """Tells whether the backend server itself ended a connection.

    Args:
        outcome: How reading ended after the entry had stopped sending.

    Returns:
        True for an orderly end; False for silence or a reset, which something
        between the two may have made.
    """
    return outcome.reason is outcomes.Reason.ANSWER_CUT
