"""Tells a new holder of a dispatch lease what this entry has outstanding.

From the moment of the reply on, grants of an older epoch are refused, so that
what the new holder hears here is all that its predecessor's grants may still
use on this entry.
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
    table: outstanding.OutstandingTable,
    kept: kept_answers.KeptAnswers,
    list_announcements: ListAnnouncements,
) -> messages.RecoverReply | None:
    """Builds the reply to a new holder.

    Args:
        request: What the holder asks.
        table: The grants of this entry; its epoch is raised.
        kept: The keyed requests of this entry.
        list_announcements: Gives the announcements that it has heard.

    Returns:
        The reply, or None for a holder of an older epoch than one seen.
    """
    if not table.raise_epoch(request.service, request.epoch):
        logs.log_event(
            "recovery_refused", service=request.service, epoch=request.epoch
        )
        return None
    now_ms = clock.read_now_ms()
    reply = messages.RecoverReply(
        request.service,
        request.epoch,
        table.list_outstanding(request.service, now_ms),
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
