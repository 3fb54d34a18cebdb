"""Moves messages between the links and the tasks of an entry process.

A message to the own process skips the links. Each kind of message has one task
that handles it.
"""

import typing

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import outcomes
from bambookeel.entry import dispatcher_task
from bambookeel.entry import events
from bambookeel.entry import follower_task
from bambookeel.entry import request_table
from bambookeel.net import links


class Router:
    """Knows which task handles which message."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        table: request_table.RequestTable,
        dispatcher: dispatcher_task.DispatcherTask,
    ) -> None:
        self._process_id = process_id
        self._table = table
        self._dispatcher = dispatcher
        self._follower: follower_task.FollowerTask | None = None
        self._links: links.PeerLinks | None = None

    def connect(
        self,
        follower: follower_task.FollowerTask,
        peer_links: links.PeerLinks,
    ) -> None:
        """Gives the router the parts that need it themselves.

        Args:
            follower: The follower task.
            peer_links: The links.
        """
        self._follower = follower
        self._links = peer_links

    def send(self, to: ids.ProcessId, message: messages.Message) -> bool:
        """Sends a message to a process, the own one included.

        Args:
            to: The process.
            message: The message.

        Returns:
            Whether it was handed over; it may still be lost with a link.
        """
        if to == self._process_id:
            self._route(to, message)
            return True
        if self._links is None:
            return False
        return self._links.send(to, message)

    def deliver(
        self, event: links.LinkUp | links.Received | links.LinkDown
    ) -> None:
        """Takes in what the links deliver.

        Args:
            event: A change of a link, or a message.
        """
        match event:
            case links.Received(peer, message):
                self._route(peer, message)
            case links.LinkUp(peer, role, _):
                self._tell_follower(events.PeerUp(peer, role))
                self._dispatcher.mailbox.put(events.PeerUp(peer, role))
            case links.LinkDown(peer):
                self._tell_follower(events.PeerDown(peer))
                self._dispatcher.mailbox.put(events.PeerDown(peer))

    def _tell_follower(self, event: typing.Any) -> None:
        if self._follower is not None:
            self._follower.mailbox.put(event)

    def _route(self, peer: ids.ProcessId, message: messages.Message) -> None:
        match message:
            case (
                messages.SlotGranted()
                | messages.SlotRefused()
                | messages.SlotDuplicate()
            ):
                if not self._table.deliver(message):
                    self._return_grant(peer, message)
            case messages.ChangeBatch() | messages.EntryHeartbeatReply():
                self._tell_follower(events.FromPeer(peer, message))
            case _:
                self._dispatcher.mailbox.put(events.FromPeer(peer, message))

    def _return_grant(
        self, peer: ids.ProcessId, message: messages.Message
    ) -> None:
        """Returns a grant whose request has ended.

        Args:
            peer: The dispatcher's process.
            message: What it sent.
        """
        if not isinstance(message, messages.SlotGranted):
            return
        release = messages.SlotReleased(
            message.request_id,
            message.service,
            message.epoch,
            message.grant_id,
            outcomes.OutcomeKind.NOT_RUN,
            backend_fault=False,
            duration_ms=0,
            hold_ms=0,
        )
        self.send(peer, release)
