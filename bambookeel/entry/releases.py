"""Returns slots to the current holder of the service's dispatch lease.

A release is sent to the current holder and carries the epoch of its grant. If
it cannot be sent, it is queued and retried. A release that may have been lost
with a link is sent again once there is a new link to the holder; duplicates
have no effect, since a grant's id returns a slot only once.
"""

from collections import deque
from collections.abc import Callable
import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import holders
from bambookeel.entry import outstanding
from bambookeel.runtime import clock
from bambookeel.runtime import metrics

# Only releases sent within this time are resent: a link that has been silent
# for longer would have been replaced already.
_RESEND_WITHIN_MS = 5_000
_MAX_RECENT = 4_096
_MAX_UNSENT = 20_000

FindHolder = Callable[[ids.ServiceName], holders.Holder | None]
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class _SentRelease:
    release: messages.SlotReleased
    holder: ids.ProcessId
    sent_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotEnd:
    """How the use of a slot ended.

    Attributes:
        outcome: The request's outcome in this slot.
        backend_fault: Whether the backend server failed to serve the request.
        duration_ms: Time for which the slot was used.
        hold_ms: How long the slot is still held, as the work may be running.
    """

    outcome: outcomes.OutcomeKind
    backend_fault: bool
    duration_ms: int
    hold_ms: int


UNUSED = SlotEnd(outcomes.OutcomeKind.NOT_RUN, False, 0, 0)


class Releases:
    """Sends releases, and queues those that could not be sent."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        table: outstanding.OutstandingTable,
        find_holder: FindHolder,
        send: SendMessage,
    ) -> None:
        self._process_id = process_id
        self._outstanding = table
        self._find_holder = find_holder
        self._send = send
        self._unsent: deque[messages.SlotReleased] = deque(maxlen=_MAX_UNSENT)
        self._recently_sent: deque[_SentRelease] = deque(maxlen=_MAX_RECENT)

    def extend(self, grant: messages.SlotGranted) -> None:
        """Extends the hold of a slot whose answer is being streamed.

        Sends the holder a release with a hold time, as for a request that may
        still be running; the final release follows.

        Args:
            grant: The slot's grant.
        """
        holder = self._find_holder(grant.service)
        if holder is None:
            return
        extension = messages.SlotReleased(
            grant.request_id,
            grant.service,
            grant.epoch,
            grant.grant_id,
            outcomes.OutcomeKind.UNKNOWN,
            backend_fault=False,
            duration_ms=0,
            hold_ms=outstanding.STREAM_HOLD_MS,
        )
        self._send(holder.process_id, extension)

    def release(self, grant: messages.SlotGranted, end: SlotEnd) -> None:
        """Returns a slot.

        Args:
            grant: The slot's grant.
            end: How its use ended.
        """
        hold_until_ms = 0
        if end.hold_ms:
            hold_until_ms = clock.read_now_ms() + end.hold_ms
        self._outstanding.remove(grant, hold_until_ms)
        self._send_or_queue(
            messages.SlotReleased(
                grant.request_id,
                grant.service,
                grant.epoch,
                grant.grant_id,
                end.outcome,
                end.backend_fault,
                end.duration_ms,
                end.hold_ms,
            )
        )

    def _send_or_queue(self, release: messages.SlotReleased) -> None:
        holder = self._find_holder(release.service)
        if holder is None or not self._send(holder.process_id, release):
            self._unsent.append(release)
            return
        if holder.process_id != self._process_id:
            now_ms = clock.read_now_ms()
            self._recently_sent.append(
                _SentRelease(release, holder.process_id, now_ms)
            )

    def retry_unsent(self) -> None:
        """Tries again to send the queued releases."""
        for _ in range(len(self._unsent)):
            metrics.RELEASES_RESENT.inc()
            self._send_or_queue(self._unsent.popleft())

    def resend_recent(self, peer: ids.ProcessId) -> None:
        """Sends the releases again that an ended link may have lost.

        Args:
            peer: The process to which there is a new link.
        """
        sent_since_ms = clock.read_now_ms() - _RESEND_WITHIN_MS
        for sent in list(self._recently_sent):
            if sent.holder == peer and sent.sent_at_ms >= sent_since_ms:
                metrics.RELEASES_RESENT.inc()
                self._send(peer, sent.release)
        self.retry_unsent()

    def count_unsent(self) -> int:
        """Counts the queued releases.

        Returns:
            The number of releases that could not be sent yet.
        """
        return len(self._unsent)
