"""Reports outstanding requests to a new holder of a dispatch lease.

From the reply on, this entry refuses grants of an older epoch. The reply
therefore lists every slot that earlier holders' grants may still use on it.
"""

from collections.abc import Callable

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import kept_answers
from bambookeel.entry import outstanding
from bambookeel.runtime import clock
from bambookeel.runtime import logs

ListAnnouncements = Callable[
    [ids.ServiceName], tuple[messages.BackendAnnouncement, ...]
]


def answer_recovery(
    request: messages.RecoverRequest,
    outstanding_table: outstanding.OutstandingTable,
    kept: kept_answers.KeptAnswers,
    list_announcements: ListAnnouncements,
) -> messages.RecoverReply | None:
    """Builds the reply to a new holder.

    Args:
        request: The holder's query.
        outstanding_table: The grants of this entry; the service's epoch in it
            is raised to the holder's.
        kept: This entry's requests with an Idempotency-Key.
        list_announcements: Lists the announcements received for a service.

    Returns:
        The reply, or None if a newer epoch of the service is known.
    """
    if not outstanding_table.raise_epoch(request.service, request.epoch):
        logs.log_event(
            "recovery_refused", service=request.service, epoch=request.epoch
        )
        return None
    now_ms = clock.read_now_ms()
    reply = messages.RecoverReply(
        request.service,
        request.epoch,
        outstanding_table.list_outstanding(request.service, now_ms),
        list_announcements(request.service),
        kept.list_records(request.service, now_ms),
    )
    logs.log_event(
        "recovery_answered",
        service=request.service,
        epoch=request.epoch,
        outstanding=len(reply.outstanding),
        records=len(reply.records),
    )
    return reply
