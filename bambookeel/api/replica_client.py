"""Client of the API for the replica in the same process.

Commands and reads are sent to the replica task as messages, and the caller
waits for the reply up to a time-out. Reads that may be stale use the published
view.
"""

import typing

import gevent
import gevent.event

from bambookeel.control import events
from bambookeel.control import replica_view
from bambookeel.runtime import mailbox
from bambookeel.state import commands
from bambookeel.state import model

_REPLY_TIMEOUT_S = 5.0


class Replica(typing.Protocol):
    """Interface of the replica task that the API uses."""

    mailbox: mailbox.Mailbox
    view: replica_view.ReplicaView


class ReplicaClient:
    """Sends commands and reads to one replica and waits for the replies."""

    def __init__(
        self, replica: Replica, reply_timeout_s: float = _REPLY_TIMEOUT_S
    ) -> None:
        self._replica = replica
        self._reply_timeout_s = reply_timeout_s

    def get_view(self) -> replica_view.ReplicaView:
        """Returns what this replica has applied.

        Returns:
            The view, which may lack the latest committed changes.
        """
        return self._replica.view

    def read(self) -> model.State | events.NotCommitted:
        """Reads the state with every acknowledged change.

        Returns:
            The state, or why it cannot be read.
        """
        reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
        return self._request_reply(events.LocalRead(reply), reply, False)

    def commit(
        self, command: commands.Command
    ) -> commands.CommandOutcome | events.NotCommitted:
        """Commits a command.

        Args:
            command: The command to append to the log.

        Returns:
            The command's outcome, or why it is not known to be committed.
        """
        reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
        return self._request_reply(
            events.LocalCommand(command, reply), reply, True
        )

    def _request_reply(
        self,
        message: typing.Any,
        reply: gevent.event.AsyncResult,
        may_take_effect: bool,
    ) -> typing.Any:
        if not self._replica.mailbox.put(message):
            return events.NotCommitted(False, "the replica is overloaded")
        try:
            return reply.get(timeout=self._reply_timeout_s)
        except gevent.Timeout:
            detail = "the replica gave no answer in time"
            return events.NotCommitted(may_take_effect, detail)
