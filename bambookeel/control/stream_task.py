"""Streams the state's changes to entries.

Owns the subscribers of this control process. Entries subscribe to any replica;
each gets what that replica has applied.
"""

from bambookeel.control import events
from bambookeel.control import replica_task
from bambookeel.control import streams
from bambookeel.core import messages
from bambookeel.runtime import mailbox


class StreamTask:
    """Owns the streams of this control process."""

    def __init__(
        self,
        replica: replica_task.ReplicaTask,
        send: replica_task.SendMessage,
    ) -> None:
        self.mailbox = mailbox.Mailbox("streams")
        self._replica = replica
        self._streams = streams.Streams()
        self._streams.connect(send)

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self._handle(self.mailbox.get())

    def _handle(self, event: object) -> None:
        match event:
            case events.Committed(state, changed):
                self._streams.publish(state.version, changed)
            case events.FromPeer(peer, messages.Subscribe(from_version)):
                state = self._replica.view.state
                self._streams.subscribe(peer, from_version, state)
            case events.PeerDown(peer):
                self._streams.unsubscribe(peer)
