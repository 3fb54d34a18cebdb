"""Grants that this entry holds, and the highest epoch of each service.

A new holder of a dispatch lease rebuilds its state from what entries report
here. A slot stays listed until its end is known, or, after an outcome that
leaves work possibly running, until the time for which it must still count.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages

# An answer that is being streamed has no deadline: its slot counts for this
# long at a time and is renewed well before.
STREAM_HOLD_MS = 20_000


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A slot that this entry uses or that must still count.

    Attributes:
        grant: The grant.
        team: The request's team.
        idempotency_key: The caller's key, or empty.
        expires_at_ms: When it may be taken as ended; 0 while an answer streams.
    """

    grant: messages.SlotGranted
    team: ids.TeamName
    idempotency_key: ids.IdempotencyKey
    expires_at_ms: int


class OutstandingTable:
    """Held grants by request id."""

    def __init__(self) -> None:
        self._held: dict[tuple[ids.Epoch, ids.GrantId, str], HeldGrant] = {}
        self._epochs: dict[ids.ServiceName, ids.Epoch] = {}
        # Grants that only count until a time, ordered by their ending.
        self._expiring: dict[tuple[ids.Epoch, ids.GrantId, str], int] = {}

    def add(self, held: HeldGrant) -> None:
        """Lists a grant before it is used.

        Args:
            held: The grant.
        """
        self._held[_get_key(held.grant)] = held

    def start_stream(self, grant: messages.SlotGranted) -> None:
        """Notes that a grant's answer is passed on as it comes.

        Args:
            grant: The grant.
        """
        held = self._held.get(_get_key(grant))
        if held is not None:
            held.expires_at_ms = 0

    def remove(
        self, grant: messages.SlotGranted, hold_until_ms: int = 0
    ) -> None:
        """Takes a grant off the list.

        Args:
            grant: The grant.
            hold_until_ms: Until when it must still be listed, if the work may
                be running unseen.
        """
        key = _get_key(grant)
        held = self._held.get(key)
        if held is None:
            return
        if hold_until_ms:
            held.expires_at_ms = hold_until_ms
            self._expiring[key] = hold_until_ms
            return
        del self._held[key]

    def drop_expired(self, now_ms: int) -> None:
        """Takes off grants that have counted for long enough.

        Args:
            now_ms: The time.
        """
        ended = [key for key, end in self._expiring.items() if end <= now_ms]
        for key in ended:
            del self._expiring[key]
            self._held.pop(key, None)

    def list_streaming(self) -> list[messages.SlotGranted]:
        """Lists the grants whose answers are being streamed.

        Returns:
            The grants.
        """
        return [h.grant for h in self._held.values() if not h.expires_at_ms]

    def count_held(self) -> int:
        """Counts the listed grants.

        Returns:
            Slots in use or still counting.
        """
        return len(self._held)

    def raise_epoch(self, service: ids.ServiceName, epoch: ids.Epoch) -> bool:
        """Notes an epoch of a service's holder.

        Args:
            service: The service.
            epoch: The epoch seen.

        Returns:
            Whether no larger one is known.
        """
        known = self._epochs.get(service, ids.Epoch(0))
        if epoch < known:
            return False
        self._epochs[service] = epoch
        return True

    def list_outstanding(
        self, service: ids.ServiceName, now_ms: int
    ) -> tuple[messages.OutstandingRequest, ...]:
        """Lists a service's grants for its new holder.

        Args:
            service: The service.
            now_ms: The time.

        Returns:
            The grants with the time for which they may still count.
        """
        found = []
        for held in self._held.values():
            grant = held.grant
            if grant.service != service:
                continue
            remaining_ms = STREAM_HOLD_MS
            if held.expires_at_ms:
                remaining_ms = max(0, held.expires_at_ms - now_ms)
            found.append(
                messages.OutstandingRequest(
                    grant.request_id,
                    held.team,
                    grant.backend_id,
                    grant.incarnation,
                    grant.epoch,
                    grant.grant_id,
                    remaining_ms,
                    held.idempotency_key,
                )
            )
        return tuple(found)


def _get_key(
    grant: messages.SlotGranted,
) -> tuple[ids.Epoch, ids.GrantId, str]:
    return (grant.epoch, grant.grant_id, grant.service)
