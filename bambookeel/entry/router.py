"""Routes messages between the links and the tasks of an entry process.

A message from the process to itself bypasses the links. Each type of message is
handled by one task or part of the request path.
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
    """The parts of the request path that handle messages.

    Attributes:
        holder_watch: Handles answers of dispatchers and changes of links.
        outstanding_table: The grants that this entry holds.
        kept_answers: The requests with an Idempotency-Key and their answers.
        fetcher: Handles requests for answers and fetched answers.
        list_announcements: Lists the announcements received for a service.
    """

    holder_watch: holder_watch.HolderWatch
    outstanding_table: outstanding.OutstandingTable
    kept_answers: kept_answers.KeptAnswers
    fetcher: answer_fetcher.AnswerFetcher
    list_announcements: recovery.ListAnnouncements


class Router:
    """Passes each message to the part of the process that handles it."""

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
        """Sets the parts that could not be built without the router.

        Args:
            follower: The follower task.
            peer_links: The links to other processes.
            parts: The parts of the request path that handle messages.
        """
        self._follower = follower
        self._links = peer_links
        self._requests = parts

    def send(self, to: ids.ProcessId, message: messages.Message) -> bool:
        """Sends a message to another process or to this one.

        Args:
            to: The receiving process.
            message: The message.

        Returns:
            Whether a task or a link has accepted the message; it may still be
            lost with the link.
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
        """Handles an event of the links.

        Args:
            event: A change of a link, or a received message.
        """
        match event:
            case links.Received(peer, message):
                self._route(peer, message)
            case links.LinkUp(peer, role, _):
                self._notify_follower(events.PeerUp(peer, role))
                self._dispatcher.mailbox.put(events.PeerUp(peer, role))
                if self._requests is not None:
                    self._requests.holder_watch.handle_link_up(peer)
            case links.LinkDown(peer):
                self._notify_follower(events.PeerDown(peer))
                self._dispatcher.mailbox.put(events.PeerDown(peer))
                if self._requests is not None:
                    self._requests.holder_watch.handle_link_down(peer)

    def _notify_follower(self, event: typing.Any) -> None:
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
                self._notify_follower(events.FromPeer(peer, message))
            case _:
                self._dispatcher.mailbox.put(events.FromPeer(peer, message))

    def _route_to_requests(
        self,
        parts: RequestParts,
        peer: ids.ProcessId,
        message: messages.Message,
    ) -> None:
        """Passes a message to the part of the request path that handles it.

        Args:
            parts: The parts of the request path that handle messages.
            peer: The process that sent the message.
            message: The message.
        """
        match message:
            case messages.RecoverRequest():
                reply = recovery.answer_recovery(
                    message,
                    parts.outstanding_table,
                    parts.kept_answers,
                    parts.list_announcements,
                )
                if reply is not None:
                    self.send(peer, reply)
            case messages.FetchAnswer():
                parts.fetcher.handle_fetch(peer, message)
            case messages.AnswerCopy():
                parts.fetcher.deliver_copy(message)
            case _:
                parts.holder_watch.handle_slot_answer(message)
