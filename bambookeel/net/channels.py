"""Channels: one-way connections to processes that are discovered at run time.

The id of a process is its address, so a message can be sent to any process
whose id is known. Each process dials the processes that it sends to, and
receives messages on the connections that others have dialled. Both ends send
heartbeats, and a silent connection is replaced. If there is no connection yet,
a message waits for one for a short time. Any message may be lost.
"""

from collections import deque
from collections.abc import Callable
import dataclasses
import functools
import itertools
import socket as plain_socket
import typing

import gevent
import gevent.event
import gevent.server
import gevent.socket

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.net import addresses
from bambookeel.net import client_guard
from bambookeel.net import codec
from bambookeel.net import frame_room
from bambookeel.net import links
from bambookeel.runtime import client_metrics
from bambookeel.runtime import clock
from bambookeel.runtime import logs

_FIRST_REDIAL_MS = 30
_MAX_REDIAL_MS = 300
# Limit of the messages that wait for one process to be dialled; the oldest are
# dropped first.
_MAX_PENDING = 500
# How long a message may wait for its connection.
_MAX_PENDING_MS = 800
# After this time without a message to send, a process is not redialled.
_IDLE_MS = 30_000
# A peer must not make this process count up to values that cannot be encoded.
_MAX_INCARNATION = 2**62


@dataclasses.dataclass(slots=True)
class Sending:
    """A message that was handed to a channel.

    Attributes:
        message: The message.
        sent_ms: When it was handed over, in ms on this process's clock.
        is_queued: Whether it was queued on a connection or delivered directly,
            so that its receiver may have got it.
        is_cancelled: Whether it must not be sent any more.
    """

    message: messages.Message
    sent_ms: int
    is_queued: bool = False
    is_cancelled: bool = False

    def cancel(self) -> bool:
        """Cancels the message unless it was queued on a connection.

        Returns:
            Whether its receiver certainly does not get it.
        """
        self.is_cancelled = True
        return not self.is_queued


@dataclasses.dataclass(slots=True)
class _Outgoing:
    """The connection to one process and the messages that wait for it.

    Attributes:
        link: The connection in use, if any.
        dial: Task of the dial in progress, if any.
        dialled_ms: When the last dial began, in ms on this process's clock.
        pending: Messages that wait for a connection.
        sent_ms: When a message to the process was last sent.
    """

    link: links.Link | None = None
    dial: gevent.Greenlet | None = None
    dialled_ms: int = 0
    pending: deque[Sending] = dataclasses.field(
        default_factory=lambda: deque(maxlen=_MAX_PENDING)
    )
    sent_ms: int = 0


class _Server(gevent.server.StreamServer):
    """A server that counts connections before their tasks start."""

    port: client_guard.Port | None = None
    max_accept = client_guard.MAX_ACCEPT

    def do_handle(self, *args: typing.Any) -> None:
        """Starts the task of an accepted connection, if there is room.

        Args:
            *args: The accepted socket and the peer's address.
        """
        if self.port is None:
            super().do_handle(*args)
            return
        client = self.port.open(args[0], args[1][0])
        if client is None:
            args[0].close()
            return
        super().do_handle(*args, client)


class Channels:
    """Sends messages to processes and delivers the messages they send.

    `deliver` is called with the sender and the message; it must not block.
    """

    def __init__(
        self,
        settings: links.LinkSettings,
        identity: messages.Hello,
        deliver: Callable[[ids.ProcessId, messages.Message], typing.Any],
        port: client_guard.Port | None = None,
    ) -> None:
        self._settings = settings
        # Bounds the connections of others; None for no bounds.
        self._port = port
        self._identity = identity
        self._deliver = deliver
        self._outgoing: dict[ids.ProcessId, _Outgoing] = {}
        # Numbers the connections that this process dials.
        self._link_numbers = itertools.count(1)
        # Incarnation and number of the newest connection from each peer.
        # Messages of earlier ones are dropped, so that a delayed message does
        # not arrive after a later one.
        self._newest: dict[ids.ProcessId, tuple[int, int]] = {}
        self._server: gevent.server.StreamServer | None = None
        self._closed = False

    def listen(self) -> None:
        """Opens the listening socket and accepts in the background."""
        address = addresses.parse_address(self._settings.listen)
        self._server = _Server(address, self._accept)
        self._server.port = self._port
        self._server.start()

    def send(self, peer: ids.ProcessId, message: messages.Message) -> bool:
        """Sends a message; it may be lost.

        Args:
            peer: The process; a message to this process itself is delivered
                directly.
            message: The message.

        Returns:
            Whether it was queued on a connection or delivered immediately;
            False if it waits for a connection.
        """
        return self.begin_sending(peer, message).is_queued

    def begin_sending(
        self, peer: ids.ProcessId, message: messages.Message
    ) -> Sending:
        """Sends a message like `send`.

        Args:
            peer: The process.
            message: The message.

        Returns:
            The message as handed over, which can be cancelled while it waits
            for a connection.
        """
        now_ms = clock.read_now_ms()
        sending = Sending(message, now_ms)
        if peer == self._identity.process_id:
            sending.is_queued = True
            self._deliver(peer, message)
            return sending
        outgoing = self._outgoing.get(peer)
        if outgoing is None:
            outgoing = _Outgoing()
            self._outgoing[peer] = outgoing
            gevent.spawn(self._keep_dialling, peer, outgoing)
        outgoing.sent_ms = now_ms
        if outgoing.link is not None:
            sending.is_queued = outgoing.link.enqueue(message)
        if not sending.is_queued:
            outgoing.pending.append(sending)
        return sending

    def _keep_dialling(self, peer: ids.ProcessId, outgoing: _Outgoing) -> None:
        pause_ms = _FIRST_REDIAL_MS
        while not self._closed:
            dialled_ms = clock.read_now_ms()
            if dialled_ms - outgoing.sent_ms > _IDLE_MS:
                break
            self._dial(peer, outgoing)
            # Only a connection that lasted resets the pause: a forwarder in
            # front of a process that is down accepts connections and closes
            # them immediately.
            if clock.read_now_ms() - dialled_ms > _MAX_REDIAL_MS:
                pause_ms = _FIRST_REDIAL_MS
            gevent.sleep(pause_ms / 1000.0)
            pause_ms = min(2 * pause_ms, _MAX_REDIAL_MS)
        if self._outgoing.get(peer) is outgoing:
            del self._outgoing[peer]

    def _dial(self, peer: ids.ProcessId, outgoing: _Outgoing) -> None:
        """Dials a process and uses the connection until it ends.

        Args:
            peer: The process.
            outgoing: The state of the channel to the process.
        """
        outgoing.dialled_ms = clock.read_now_ms()
        outgoing.dial = gevent.spawn(self._connect, peer)
        sock = outgoing.dial.get()
        outgoing.dial = None
        if not isinstance(sock, gevent.socket.socket):
            self._drop_expired(outgoing)
            return
        link = links.Link(sock, self._settings)
        number = ids.LinkNumber(next(self._link_numbers))
        link.enqueue(dataclasses.replace(self._identity, link_number=number))
        self._drop_expired(outgoing)
        while outgoing.pending:
            sending = outgoing.pending.popleft()
            if not sending.is_cancelled:
                sending.is_queued = link.enqueue(sending.message)
        outgoing.link = link
        logs.log_event("channel_up", peer=peer)
        writer = gevent.spawn(link.write_frames)
        try:
            # The other end sends heartbeats, and a hello if it knows a later
            # incarnation.
            for message in link.read_messages():
                if isinstance(message, messages.Hello):
                    self._count_beyond(message)
                    break
        except codec.CodecError as error:
            logs.log_event("channel_rejected", peer=peer, error=str(error))
        finally:
            outgoing.link = None
            link.close()
            writer.join()
            logs.log_event("channel_down", peer=peer)

    def _count_beyond(self, known: messages.Hello) -> None:
        """Makes this incarnation later than one that a peer knows.

        Incarnations are start times. After a clock was set back, an earlier
        start may have the later time. Only a process that runs can read this,
        so that the peer never takes an ended process for the later one.

        Args:
            known: Hello of the incarnation that the peer knows.
        """
        own = self._identity
        is_own = known.process_id == own.process_id
        if not is_own or known.incarnation >= _MAX_INCARNATION:
            return
        if known.incarnation > own.incarnation:
            later = ids.Incarnation(known.incarnation + 1)
            self._identity = dataclasses.replace(own, incarnation=later)
            logs.log_event("incarnation_raised", incarnation=later)

    def _connect(self, peer: ids.ProcessId) -> gevent.socket.socket | None:
        try:
            sock = gevent.socket.create_connection(
                addresses.parse_address(peer),
                timeout=self._settings.timeout_ms / 1000.0,
            )
            sock.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
        except (OSError, ValueError):
            # Also if the peer's id is no address.
            return None
        return sock

    def _abort_hanging_dial(self, peer: ids.ProcessId) -> None:
        """Aborts a hanging dial to a process that has connected to this one.

        The first packet of such a dial was lost while the peer's machine was
        down. It would be retransmitted only after the pending messages have
        expired.

        Args:
            peer: The process that has just connected to this one.
        """
        outgoing = self._outgoing.get(peer)
        if outgoing is None or outgoing.dial is None:
            return
        # A dial that began just now is kept: two processes that start at the
        # same time dial each other, and both dials succeed.
        if clock.read_now_ms() - outgoing.dialled_ms > _FIRST_REDIAL_MS:
            outgoing.dial.kill(block=False)

    def _drop_expired(self, outgoing: _Outgoing) -> None:
        oldest_ms = clock.read_now_ms() - _MAX_PENDING_MS
        while outgoing.pending and outgoing.pending[0].sent_ms < oldest_ms:
            outgoing.pending.popleft()

    def _accept(
        self,
        sock: typing.Any,
        _address: typing.Any,
        client: client_guard.Client | None = None,
    ) -> None:
        try:
            self._serve(sock, client)
        finally:
            if client is not None:
                client.port.end(client)

    def _serve(
        self, sock: typing.Any, client: client_guard.Client | None
    ) -> None:
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        room = frame_room.FrameRoom(client) if client is not None else None
        link = links.Link(sock, self._settings, room)
        writer = gevent.spawn(link.write_frames)
        try:
            self._read(link, client)
        except codec.CodecError as error:
            # Lines about processes without a hello would have no bound.
            if client is None or client.requests:
                logs.log_event("channel_rejected", error=str(error))
            else:
                client_metrics.count_closed("first_frame_invalid")
        finally:
            link.close()
            writer.join()

    def _read(
        self, link: links.Link, client: client_guard.Client | None
    ) -> None:
        stream = link.read_messages()
        hello = next(stream, None)
        if not isinstance(hello, messages.Hello):
            return
        if client is not None:
            client.requests = 1
        peer = hello.process_id
        generation = (int(hello.incarnation), int(hello.link_number))
        newest = max(generation, self._newest.get(peer, generation))
        self._newest[peer] = newest
        is_outdated = newest[0] > generation[0]
        if is_outdated:
            later = ids.Incarnation(newest[0])
            link.enqueue(dataclasses.replace(hello, incarnation=later))
        self._abort_hanging_dial(peer)
        deliver = functools.partial(self._deliver, peer)
        for message in stream:
            if is_outdated:
                # Dropped until the peer, if it still runs, has read the hello.
                continue
            if self._newest[peer] != generation:
                return
            deliver(message)

    def close(self) -> None:
        """Closes the listening socket and all dialled connections."""
        self._closed = True
        if self._server is not None:
            self._server.stop(timeout=0)
        for outgoing in list(self._outgoing.values()):
            if outgoing.link is not None:
                outgoing.link.close()
