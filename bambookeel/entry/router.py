"""Moves messages between the links and the tasks of an entry process.

A message to the own process skips the links. Each kind of message has one task
that handles it.
"""

import dataclasses
import typing

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.entry import answer_fetcher
from bambookeel.entry import dispatcher_task
from bambookeel.entry import events
from bambookeel.entry import follower_task
from bambookeel.entry import holder_watch
from bambookeel.entry import kept_answers
from bambookeel.entry import outstanding
from bambookeel.entry import recovery
from bambookeel.net import links


@dataclasses.dataclass(frozen=True, slots=True)
class RequestParts:
    """The parts of the request path that take messages.

    Attributes:
        watch: Takes answers of dispatchers and changes of links.
        held: The grants in use.
        kept: The keyed requests.
        fetcher: Takes fetched answers.
        list_announcements: Gives the announcements heard of a service.
    """

    watch: holder_watch.HolderWatch
    held: outstanding.OutstandingTable
    kept: kept_answers.KeptAnswers
    fetcher: answer_fetcher.AnswerFetcher
    list_announcements: recovery.ListAnnouncements


class Router:
    """Knows which task handles which message."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        dispatcher: dispatcher_task.DispatcherTask,
    ) -> None:
        self._process_id = process_id
        self._dispatcher = dispatcher
        self._follower: follower_task.FollowerTask | None = None
        self._links: links.PeerLinks | None = None
        self._requests: RequestParts | None = None

    def connect(
        self,
        follower: follower_task.FollowerTask,
        peer_links: links.PeerLinks,
        parts: RequestParts,
    ) -> None:
        """Gives the router the parts that need it themselves.

        Args:
            follower: The follower task.
            peer_links: The links.
            parts: The parts of the request path.
        """
        self._follower = follower
        self._links = peer_links
        self._requests = parts

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
                if self._requests is not None:
                    self._requests.watch.take_link_up(peer)
            case links.LinkDown(peer):
                self._tell_follower(events.PeerDown(peer))
                self._dispatcher.mailbox.put(events.PeerDown(peer))
                if self._requests is not None:
                    self._requests.watch.take_link_down(peer)

    def _tell_follower(self, event: typing.Any) -> None:
        if self._follower is not None:
            self._follower.mailbox.put(event)

    def _route(self, peer: ids.ProcessId, message: messages.Message) -> None:
        match message:
            case (
                messages.SlotGranted()
                | messages.SlotRefused()
                | messages.SlotDuplicate()
                | messages.RecoverRequest()
                | messages.FetchAnswer()
                | messages.AnswerCopy()
            ):
                if self._requests is not None:
                    self._route_to_requests(self._requests, peer, message)
            case messages.ChangeBatch() | messages.EntryHeartbeatReply():
                self._tell_follower(events.FromPeer(peer, message))
            case _:
                self._dispatcher.mailbox.put(events.FromPeer(peer, message))

    def _route_to_requests(
        self,
        parts: RequestParts,
        peer: ids.ProcessId,
        message: messages.Message,
    ) -> None:
        """Hands a message to the request path.

        Args:
            parts: The parts of the request path.
            peer: Who sent it.
            message: The message.
        """
        match message:
            case messages.RecoverRequest():
                reply = recovery.answer_recovery(
                    message, parts.held, parts.kept, parts.list_announcements
                )
                if reply is not None:
                    self.send(peer, reply)
            case messages.FetchAnswer():
                parts.fetcher.handle_fetch(peer, message)
            case messages.AnswerCopy():
                parts.fetcher.deliver_copy(message)
            case _:
                parts.watch.take_slot_answer(message)
