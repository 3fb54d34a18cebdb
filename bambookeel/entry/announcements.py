"""Receives the announcements of backend servers.

A backend server announces itself through the balancer, to any entry. The entry
validates the announcement; the dispatcher task stores and forwards it.
"""

import dataclasses
from typing import Annotated

import msgspec

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings
from bambookeel.entry import events
from bambookeel.net import addresses
from bambookeel.runtime import mailbox

_MAX_SLOTS = 4_096
_MAX_LEASE_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AnnouncementDocument:
    """The JSON body of `POST /announce`.

    Attributes:
        service: The service that the backend server runs.
        backend_id: The backend server's name, unique within the service.
        address: Where it accepts requests, as `ip:port`.
        incarnation: Increases with each restart of the backend server.
        sequence: Increases with each announcement of one incarnation.
        state: `serving` or `leaving`.
        slots: The most requests that it runs at once.
        connections: The most connections that it accepts.
        lease_ms: How long this announcement is valid.
        running: Requests that are running on it now.
    """

    service: resources.Name
    backend_id: resources.Name
    address: settings.Address
    incarnation: Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
    sequence: Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    lease_ms: Annotated[int, msgspec.Meta(ge=100, le=_MAX_LEASE_MS)]
    running: Annotated[int, msgspec.Meta(ge=0, lt=2**31)] = 0


_STATES = {
    "serving": messages.BackendState.SERVING,
    "leaving": messages.BackendState.LEAVING,
}


def parse_announcement(body: bytes) -> messages.BackendAnnouncement:
    """Parses and validates an announcement.

    Args:
        body: An `AnnouncementDocument` as JSON.

    Returns:
        The announcement as a message with an age of 0.

    Raises:
        msgspec.ValidationError: If a field is missing or out of bounds.
        msgspec.DecodeError: If the body is not JSON.
        RecursionError: If the body is nested too deeply.
    """
    document = msgspec.json.decode(body, type=AnnouncementDocument)
    try:
        addresses.parse_address(document.address)
    except ValueError as error:
        raise msgspec.ValidationError(str(error)) from error
    if document.state not in _STATES:
        raise msgspec.ValidationError(
            f"state {document.state!r} is not one of {sorted(_STATES)}"
        )
    return messages.BackendAnnouncement(
        service=ids.ServiceName(document.service),
        backend_id=ids.BackendId(document.backend_id),
        address=document.address,
        incarnation=ids.Incarnation(document.incarnation),
        sequence=document.sequence,
        state=_STATES[document.state],
        slots=document.slots,
        connections=document.connections,
        lease_ms=document.lease_ms,
        age_ms=0,
        running=document.running,
    )


class AnnouncementReceiver:
    """Validates announcements and passes them to the dispatcher task."""

    def __init__(
        self, process_id: ids.ProcessId, dispatcher: mailbox.Mailbox
    ) -> None:
        self._process_id = process_id
        self._dispatcher = dispatcher

    def receive(self, body: bytes) -> None:
        """Validates an announcement and passes it to the dispatcher task.

        Args:
            body: An `AnnouncementDocument` as JSON.

        Raises:
            msgspec.ValidationError: If a field is missing or out of bounds.
            msgspec.DecodeError: If the body is not JSON.
        RecursionError: If the body is nested too deeply.
        """
        announcement = parse_announcement(body)
        self._dispatcher.put(events.FromPeer(self._process_id, announcement))
