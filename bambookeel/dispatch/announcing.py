"""Applies announcements of backend servers to a dispatcher's state.

Until every entry has reported its outstanding requests to a new holder, a
server's slots are granted only after a settled announcement: one made late
enough that the last grant of an earlier holder must have started. Requests that
the server runs in excess of the known grants count as unreported.
"""

from bambookeel.core import messages
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import effects
from bambookeel.dispatch import ending
from bambookeel.dispatch import granting
from bambookeel.dispatch import service


def _count_unreported(
    state: service.ServiceState, backend: backend_table.Backend
) -> None:
    """Counts slots in unreported use, once the announcement is settled.

    Args:
        state: The service's state.
        backend: The server, with a new announcement.
    """
    settled_at_ms = (state.started_at_ms or 0) + service.START_WITHIN_MS
    if state.started_at_ms is None or backend.sampled_at_ms < settled_at_ms:
        return
    excess = backend.announcement.running - backend.granted
    backend.unreported = max(0, excess)
    backend.usage_known = True


def handle_announcement(
    state: service.ServiceState,
    announcement: messages.BackendAnnouncement,
    now_ms: int,
) -> list[effects.Effect]:
    """Handles a backend server's announcement.

    Args:
        state: The service's state.
        announcement: The received announcement.
        now_ms: Current time in ms on this process's clock.

    Returns:
        Messages with the grants that became possible.
    """
    backend = backend_table.apply_announcement(
        state.backends, announcement, now_ms
    )
    if backend is None:
        return []
    if not state.all_counted and not backend.usage_known:
        _count_unreported(state, backend)
    else:
        backend.usage_known = True
    ending.free_ended_slots(state, backend)
    backend_table.refresh(state.backends, backend)
    return granting.grant_slots(state, now_ms)
