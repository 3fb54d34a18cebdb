"""Grants that this entry holds, and the highest epoch of each service.

A new holder of a dispatch lease rebuilds its state from the grants that entries
list here. A grant stays listed until its work is known to have ended; after an
outcome that leaves open whether the work still runs, it is listed until its
hold time is over.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages

# An answer that is being streamed has no deadline: its slot is held for this
# long at a time, and the hold is extended well before it expires.
STREAM_HOLD_MS = 20_000


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant that this entry uses, or whose slot is still held.

    Attributes:
        grant: The grant.
        team: The request's team.
        idempotency_key: The request's Idempotency-Key, or empty.
        expires_at_ms: When the work counts as ended, on this process's clock;
            0 while the answer is streamed.
    """

    grant: messages.SlotGranted
    team: ids.TeamName
    idempotency_key: ids.IdempotencyKey
    expires_at_ms: int


class OutstandingTable:
    """The grants that this entry holds, by epoch, grant id and service."""

    def __init__(self) -> None:
        self._held: dict[tuple[ids.Epoch, ids.GrantId, str], HeldGrant] = {}
        self._epochs: dict[ids.ServiceName, ids.Epoch] = {}
        # Expiry times of grants no longer in use whose slots are still held.
        self._expiring: dict[tuple[ids.Epoch, ids.GrantId, str], int] = {}

    def add(self, held: HeldGrant) -> None:
        """Lists a grant before it is used.

        Args:
            held: The grant.
        """
        self._held[_get_key(held.grant)] = held

    def start_stream(self, grant: messages.SlotGranted) -> None:
        """Records that a grant's answer is streamed from now on.

        Args:
            grant: The grant.
        """
        held = self._held.get(_get_key(grant))
        if held is not None:
            held.expires_at_ms = 0

    def remove(
        self, grant: messages.SlotGranted, hold_until_ms: int = 0
    ) -> None:
        """Removes a grant, at once or when its hold time is over.

        Args:
            grant: The grant.
            hold_until_ms: Until when it stays listed, if the work may still be
                running; 0 removes it at once.
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
        """Removes the grants whose hold time is over.

        Args:
            now_ms: Current time in ms on this process's clock.
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
            The number of slots in use or still held.
        """
        return len(self._held)

    def raise_epoch(self, service: ids.ServiceName, epoch: ids.Epoch) -> bool:
        """Raises the highest known epoch of a service's holder.

        Args:
            service: The service.
            epoch: The epoch of a holder, a grant or a recovery.

        Returns:
            False if a higher epoch is known.
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
            now_ms: Current time in ms on this process's clock.

        Returns:
            The grants, each with the time for which its slot is still held.
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
