"""The use of one granted slot, until it is released.

A `SlotUse` owns the grant and the connection to the backend server and ends the
use of both exactly once. The slot is released at once if the work is known to
have ended; otherwise it is held until the request's deadline has passed at the
backend server.
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

# The deadline passes at a backend server a little later than at the entry, as
# the server counts it from a later time.
_DEADLINE_MARGIN_MS = 200
# How long an answer is read on after its caller has disconnected, to learn
# when the work ends.
_DRAIN_MS = 5_000


class SlotUse:
    """One request's use of a slot."""

    def __init__(
        self,
        grant: messages.SlotGranted,
        connection: connection_pool.Connection,
        pool: connection_pool.ConnectionPool,
        slot_releases: releases.Releases,
        outstanding_table: outstanding.OutstandingTable,
        deadline_ms: int,
    ) -> None:
        self.grant = grant
        self.connection = connection
        self._pool = pool
        self._releases = slot_releases
        self._outstanding = outstanding_table
        self._deadline_ms = deadline_ms
        self._started_ms = clock.read_now_ms()
        self._ended = False

    def start_stream(self) -> None:
        """Holds the slot for as long as the answer is streamed."""
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
        """Ends the use after a complete answer.

        Args:
            stream: The answer.
        """
        keep_connection = stream.may_keep_connection()
        self._end(outcomes.OutcomeKind.ANSWERED, False, keep_connection, 0)

    def end_not_run(self) -> None:
        """Ends the use if nothing was sent, or the server ran nothing."""
        self._end(outcomes.OutcomeKind.NOT_RUN, True, False, 0)

    def end_unused(self) -> None:
        """Ends the use before anything was sent over the connection."""
        self._end(outcomes.OutcomeKind.NOT_RUN, False, True, 0)

    def end_unknown(self) -> None:
        """Ends the use if the work may still be running; holds the slot."""
        hold_ms = self._get_hold_ms()
        self._end(outcomes.OutcomeKind.UNKNOWN, True, False, hold_ms)

    def end_if_open(self) -> None:
        """Ends the use, if it is open, when its task fails or is killed."""
        if not self._ended:
            self.end_unknown()

    def end_cancelled(self, has_ended: bool) -> None:
        """Ends the use after its caller has disconnected.

        Args:
            has_ended: Whether the work is known to have ended.
        """
        hold_ms = 0 if has_ended else self._get_hold_ms()
        self._end(outcomes.OutcomeKind.CANCELLED, False, False, hold_ms)

    def drain(self, stream: answer_stream.AnswerStream) -> None:
        """Reads the rest of an answer whose caller has disconnected.

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
    """Checks whether the backend server itself closed a connection.

    Args:
        outcome: How reading ended after the entry had stopped sending.

    Returns:
        True for an orderly close; False for a time-out or a reset, which may
        have been caused on the network between entry and server.
    """
    return outcome.reason is outcomes.Reason.ANSWER_CUT
