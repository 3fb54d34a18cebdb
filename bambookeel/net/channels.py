"""Channels: one-way connections to processes that are found at run time.

A process id is the address of the process, so that a message to a process is
all it takes to reach it. Each process dials those that it sends to and takes
messages on the connections that others dialled; both ends send heartbeats, and
a silent connection is replaced. A message that finds no connection waits for
one briefly; like any message it may be lost.
"""

from collections import deque
from collections.abc import Callable
import dataclasses
import functools
import socket as plain_socket
import typing

import gevent
import gevent.event
import gevent.server
import gevent.socket

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.net import addresses
from bambookeel.net import codec
from bambookeel.net import links
from bambookeel.runtime import clock
from bambookeel.runtime import logs

_FIRST_REDIAL_MS = 30
_MAX_REDIAL_MS = 300
# Messages to a process that is being dialled; older ones are dropped first.
_MAX_PENDING = 500
# How long a message may wait for its connection.
_MAX_PENDING_MS = 800
# A connection that nothing was sent on for so long is closed.
_IDLE_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Outgoing:
    """What is on its way to one process.

    Attributes:
        link: The connection in use, if any.
        dial: The dial under way, if any.
        dialled_ms: When that began.
        pending: Messages that wait for a connection, with their times.
        sent_ms: When a message was last wanted there.
        wake: Set when a message waits.
    """

    link: links.Link | None = None
    dial: gevent.Greenlet | None = None
    dialled_ms: int = 0
    pending: deque[tuple[int, messages.Message]] = dataclasses.field(
        default_factory=lambda: deque(maxlen=_MAX_PENDING)
    )
    sent_ms: int = 0


class Channels:
    """Sends messages to processes and delivers what they send.

    `deliver` is called with the sender and each message; it must not block.
    """

    def __init__(
        self,
        settings: links.LinkSettings,
        identity: messages.Hello,
        deliver: Callable[[ids.ProcessId, messages.Message], typing.Any],
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._deliver = deliver
        self._outgoing: dict[ids.ProcessId, _Outgoing] = {}
        # Newest life of each peer; messages of an earlier one are dropped.
        self._lives: dict[ids.ProcessId, int] = {}
        self._server: gevent.server.StreamServer | None = None
        self._closed = False

    def listen(self) -> None:
        """Opens the listening socket and accepts in the background."""
        address = addresses.parse_address(self._settings.listen)
        self._server = gevent.server.StreamServer(address, self._accept)
        self._server.start()

    def send(self, peer: ids.ProcessId, message: messages.Message) -> bool:
        """Sends a message; it may be lost.

        Args:
            peer: The process; the own one is delivered to directly.
            message: The message.

        Returns:
            Whether a connection took it at once.
        """
        if peer == self._identity.process_id:
            self._deliver(peer, message)
            return True
        outgoing = self._outgoing.get(peer)
        now_ms = clock.read_now_ms()
        if outgoing is None:
            outgoing = _Outgoing()
            self._outgoing[peer] = outgoing
            gevent.spawn(self._keep_dialling, peer, outgoing)
        outgoing.sent_ms = now_ms
        if outgoing.link is not None and outgoing.link.enqueue(message):
            return True
        outgoing.pending.append((now_ms, message))
        return False

    def _keep_dialling(self, peer: ids.ProcessId, outgoing: _Outgoing) -> None:
        pause_ms = _FIRST_REDIAL_MS
        while not self._closed:
            dialled_ms = clock.read_now_ms()
            if dialled_ms - outgoing.sent_ms > _IDLE_MS:
                break
            self._dial(peer, outgoing)
            # A forwarder in front of a process that is down takes connections
            # and closes them at once; that is no reason to dial more often.
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
            outgoing: What is on its way there.
        """
        outgoing.dialled_ms = clock.read_now_ms()
        outgoing.dial = gevent.spawn(self._connect, peer)
        sock = outgoing.dial.get()
        outgoing.dial = None
        if not isinstance(sock, gevent.socket.socket):
            self._drop_old(outgoing)
            return
        link = links.Link(sock, self._settings)
        link.enqueue(self._identity)
        self._drop_old(outgoing)
        while outgoing.pending:
            link.enqueue(outgoing.pending.popleft()[1])
        outgoing.link = link
        logs.log_event("channel_up", peer=peer)
        writer = gevent.spawn(link.write_frames)
        try:
            # The other end sends nothing but heartbeats here.
            for _ in link.read_messages():
                continue
        except codec.CodecError as error:
            logs.log_event("channel_rejected", peer=peer, error=str(error))
        finally:
            outgoing.link = None
            link.close()
            writer.join()
            logs.log_event("channel_down", peer=peer)

    def _connect(self, peer: ids.ProcessId) -> gevent.socket.socket | None:
        try:
            sock = gevent.socket.create_connection(
                addresses.parse_address(peer),
                timeout=self._settings.timeout_ms / 1000.0,
            )
            sock.setsockopt(
                plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
            )
        except OSError:
            return None
        return sock

    def _dial_again(self, peer: ids.ProcessId) -> None:
        """Gives up a dial that hangs, to a process that is heard again.

        Its first packet was lost while the machine was down; it would be sent
        again later than the messages for the process may wait.

        Args:
            peer: The process, which has just connected here.
        """
        outgoing = self._outgoing.get(peer)
        if outgoing is None or outgoing.dial is None:
            return
        # Two processes that start together dial each other, which goes well.
        if clock.read_now_ms() - outgoing.dialled_ms > _FIRST_REDIAL_MS:
            outgoing.dial.kill(block=False)

    def _drop_old(self, outgoing: _Outgoing) -> None:
        oldest_ms = clock.read_now_ms() - _MAX_PENDING_MS
        while outgoing.pending and outgoing.pending[0][0] < oldest_ms:
            outgoing.pending.popleft()

    def _accept(self, sock: typing.Any, _address: typing.Any) -> None:
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        link = links.Link(sock, self._settings)
        writer = gevent.spawn(link.write_frames)
        try:
            self._read(link)
        except codec.CodecError as error:
            logs.log_event("channel_rejected", error=str(error))
        finally:
            link.close()
            writer.join()

    def _read(self, link: links.Link) -> None:
        stream = link.read_messages()
        hello = next(stream, None)
        if not isinstance(hello, messages.Hello):
            return
        peer = hello.process_id
        life = max(hello.incarnation, self._lives.get(peer, 0))
        self._lives[peer] = ids.Incarnation(life)
        self._dial_again(peer)
        deliver = functools.partial(self._deliver, peer)
        for message in stream:
            if self._lives[peer] != hello.incarnation:
                return
            deliver(message)

    def close(self) -> None:
        """Stops accepting and closes every connection."""
        self._closed = True
        if self._server is not None:
            self._server.stop(timeout=0)
        for outgoing in list(self._outgoing.values()):
            if outgoing.link is not None:
                outgoing.link.close()
