"""Stores copies of idempotency records for holders in other processes.

A holder of a dispatch lease sends copies of its records; a later holder
requests them. The dispatcher task owns the copies.
"""

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import effects
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import service as dispatch_service


class RecordKeeper:
    """The stored copies of records, by service."""

    def __init__(self, started_at_ms: int) -> None:
        self._started_at_ms = started_at_ms
        self._copies: dict[ids.ServiceName, idempotency.RecordTable] = {}

    def _get_copies(self, service: ids.ServiceName) -> idempotency.RecordTable:
        return self._copies.setdefault(service, idempotency.RecordTable())

    def store_copies(
        self,
        peer: ids.ProcessId,
        message: messages.KeepRecords,
        now_ms: int,
    ) -> list[effects.Effect]:
        """Stores copies of a holder's records.

        Args:
            peer: The holder.
            message: The copies.
            now_ms: Current time in ms on this process's clock.

        Returns:
            The confirmation, if the holder waits for one.
        """
        copies = self._get_copies(message.service)
        idempotency.store_copies(copies, message.records, now_ms)
        idempotency.drop_expired(copies, now_ms)
        copies.incomplete_until_ms = max(
            copies.incomplete_until_ms, now_ms + message.incomplete_ms
        )
        copies.restored |= message.restored
        if not message.nonce:
            return []
        kept = messages.RecordsKept(
            message.service, message.epoch, message.nonce
        )
        return [effects.Send(peer, kept)]

    def add_own_records(self, state: dispatch_service.ServiceState) -> None:
        """Stores the records of a dispatcher that ends in this process.

        Args:
            state: The dispatcher's state.
        """
        copies = self._get_copies(state.service)
        for key, record in state.records.by_key.items():
            if idempotency.is_confirmed(record):
                idempotency.put(copies, key, record)
        copies.incomplete_until_ms = max(
            copies.incomplete_until_ms, state.records.incomplete_until_ms
        )

    def build_reply(
        self,
        peer: ids.ProcessId,
        request: messages.RecordsRequest,
        state: dispatch_service.ServiceState | None,
        now_ms: int,
    ) -> effects.Effect:
        """Builds the reply that sends a new holder the records stored here.

        Args:
            peer: The new holder.
            request: The new holder's request.
            state: The service's dispatcher in this process, if any; its own
                records are included if its epoch is older.
            now_ms: Current time in ms on this process's clock.

        Returns:
            The effect that sends the reply.
        """
        copies = self._get_copies(request.service)
        records = dict(copies.by_key)
        incomplete_until_ms = copies.incomplete_until_ms
        if state is not None and state.epoch < request.epoch:
            records.update(state.records.by_key)
            incomplete_until_ms = max(
                incomplete_until_ms, state.records.incomplete_until_ms
            )
        exported = tuple(
            idempotency.export(key, record, now_ms)
            for key, record in records.items()
            if idempotency.is_confirmed(record)
        )
        reply = messages.RecordsReply(
            request.service,
            request.epoch,
            now_ms - self._started_at_ms,
            exported,
            max(0, incomplete_until_ms - now_ms),
            copies.restored,
        )
        return effects.Send(peer, reply)
