"""Peer links: connections for messages between the processes of a deployment.

Every pair of processes shares one TCP connection, which the process with the
smaller id dials. Both ends send heartbeats. An end that receives nothing within
the timeout closes the connection, so that a silent connection is replaced by a
new one. Links are numbered, and the frames of an older link of the same pair
are dropped. Each frame carries its length and a hybrid logical clock stamp.
"""

from collections import deque
from collections.abc import Callable
import dataclasses
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
from bambookeel.net import frame_room
from bambookeel.net import frames
from bambookeel.runtime import link_metrics
from bambookeel.runtime import logs

_RECEIVE_BYTES = 65_536
_SEND_BYTES = 16_384
# Limit of the frames that wait for a slow peer; beyond it the link is replaced.
_MAX_QUEUED_BYTES = 32 * 1024 * 1024
_FIRST_REDIAL_MS = 50
# A TLS socket that is closed by another task raises ValueError.
_CONNECTION_ERRORS = (OSError, ValueError)
_MAX_REDIAL_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to a peer has been opened and is in use."""

    peer: ids.ProcessId
    role: messages.ProcessRole
    data_centre: ids.DataCentre


@dataclasses.dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to a peer has ended."""

    peer: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message was received from a peer."""

    peer: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """Settings of the links of a process.

    Attributes:
        listen: Own address, `ip:port`.
        peers: Addresses of the peers by process id.
        heartbeat_ms: Time between heartbeats.
        timeout_ms: Silence after which a link is replaced; also the time limit
            for opening one.
        wrap_client: Authenticates a dialled socket and returns the TLS socket;
            None for links without TLS.
        wrap_server: Authenticates an accepted socket likewise.
        is_certified_for: Checks whether the certificate received on an
            authenticated socket is that of a process.
    """

    listen: str
    peers: dict[ids.ProcessId, str]
    heartbeat_ms: int
    timeout_ms: int
    wrap_client: Callable[[typing.Any], typing.Any] | None = None
    wrap_server: Callable[[typing.Any], typing.Any] | None = None
    is_certified_for: Callable[[typing.Any, ids.ProcessId], bool] | None = None


class Link:
    """One connection to one peer, with the queue of frames to write."""

    def __init__(
        self,
        sock: typing.Any,
        settings: LinkSettings,
        room: frame_room.FrameRoom | None = None,
    ) -> None:
        self._socket = sock
        self._room = room  # Bounds what an accepted connection can use.
        self._settings = settings
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = gevent.event.Event()
        self._closed = False
        sock.settimeout(settings.timeout_ms / 1000.0)

    def may_belong_to(self, peer: ids.ProcessId) -> bool:
        """Checks whether the other end may be the given process.

        Args:
            peer: The process id that the other end claims.

        Returns:
            Whether its certificate is that of the process; always True on
            connections without TLS.
        """
        if self._settings.is_certified_for is None:
            return True
        return self._settings.is_certified_for(self._socket, peer)

    def enqueue(self, message: messages.Message) -> bool:
        """Queues a message for `write_frames`.

        Args:
            message: The message to send.

        Returns:
            Whether it was queued; False if the link is closed or congested, or
            if the message is larger than the other end takes.
        """
        if self._closed:
            return False
        frame = frames.encode_frame(message)
        if frame is None:
            return False
        if self._queued_bytes + len(frame) > _MAX_QUEUED_BYTES:
            self.close()
            return False
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self._wake.set()
        return True

    def write_frames(self) -> None:
        """Writes queued frames, and heartbeats while there are none."""
        sequence = 0
        period_s = self._settings.heartbeat_ms / 1000.0
        while not self._closed:
            if not self._queue:
                self._wake.clear()
                if not self._wake.wait(period_s):
                    sequence += 1
                    self.enqueue(messages.LinkHeartbeat(sequence))
                    continue
            data = b"".join(self._queue)
            self._queue.clear()
            self._queued_bytes = 0
            try:
                # The timeout applies to each part, since a large message takes
                # longer than the timeout on a slow network.
                for start in range(0, len(data), _SEND_BYTES):
                    self._socket.sendall(data[start : start + _SEND_BYTES])
            except _CONNECTION_ERRORS:
                self.close()
                return
            link_metrics.SENT_BYTES.inc(len(data))

    def read_messages(self) -> typing.Iterator[messages.Message]:
        """Reads messages until the link ends.

        Yields:
            Each message except heartbeats.
        """
        buffer = bytearray()
        while not self._closed:
            try:
                data = self._socket.recv(_RECEIVE_BYTES)
            except _CONNECTION_ERRORS:
                return
            if not data:
                return
            link_metrics.RECEIVED_BYTES.inc(len(data))
            buffer += data
            for message in frames.decode_frames(buffer):
                if not isinstance(message, messages.LinkHeartbeat):
                    yield message
            if self._room is not None and not self._room.reserve(buffer):
                return

    def close(self) -> None:
        """Closes the connection; later calls have no effect."""
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        try:
            self._socket.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()


class PeerLinks:
    """Maintains one link to each peer and delivers the received messages.

    `deliver` is called with `LinkUp`, `Received` and `LinkDown` in the task
    that reads the link; it must not block.
    """

    def __init__(
        self,
        settings: LinkSettings,
        identity: messages.Hello,
        deliver: Callable[[LinkUp | Received | LinkDown], typing.Any],
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._deliver = deliver
        self._links: dict[ids.ProcessId, Link] = {}
        # Incarnation and link number of the last link in use, by peer.
        self._generations: dict[ids.ProcessId, tuple[int, int]] = {}
        self._last_number = 0
        self._server: gevent.server.StreamServer | None = None

    def listen(self) -> None:
        """Opens the listening socket and accepts links in the background."""
        address = addresses.parse_address(self._settings.listen)
        self._server = gevent.server.StreamServer(address, self._accept)
        self._server.start()

    def get_dialled_peers(self) -> list[ids.ProcessId]:
        """Lists the peers that this process dials.

        Returns:
            The peers whose ids are larger than that of this process.
        """
        own = self._identity.process_id
        return [peer for peer in self._settings.peers if own < peer]

    def is_up(self, peer: ids.ProcessId) -> bool:
        """Checks whether a link to a peer is in use.

        Args:
            peer: Process id of the peer.

        Returns:
            Whether messages to the peer can be queued.
        """
        return peer in self._links

    def send(self, peer: ids.ProcessId, message: messages.Message) -> bool:
        """Queues a message for a peer.

        Args:
            peer: Process id of the peer.
            message: The message to send.

        Returns:
            Whether it was queued on a link; it may still be lost if the link
            ends.
        """
        link = self._links.get(peer)
        return link is not None and link.enqueue(message)

    def dial_forever(self, peer: ids.ProcessId) -> None:
        """Dials a peer again whenever its link has ended; runs as a task.

        Args:
            peer: Process id of the peer.
        """
        pause_ms = _FIRST_REDIAL_MS
        while True:
            address = addresses.parse_address(self._settings.peers[peer])
            try:
                sock = gevent.socket.create_connection(
                    address, timeout=self._settings.timeout_ms / 1000.0
                )
                if self._settings.wrap_client is not None:
                    sock = self._settings.wrap_client(sock)
                pause_ms = _FIRST_REDIAL_MS
                self._run_link(sock)
            except OSError:
                pass
            gevent.sleep(pause_ms / 1000.0)
            pause_ms = min(pause_ms * 2, _MAX_REDIAL_MS)

    def _accept(self, sock: typing.Any, _address: typing.Any) -> None:
        try:
            if self._settings.wrap_server is not None:
                sock = self._settings.wrap_server(sock)
            self._run_link(sock)
        except OSError:
            sock.close()

    def _run_link(self, sock: typing.Any) -> None:
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        link = Link(sock, self._settings)
        self._last_number += 1
        number = ids.LinkNumber(self._last_number)
        link.enqueue(dataclasses.replace(self._identity, link_number=number))
        writer = gevent.spawn(link.write_frames)
        try:
            self._read_link(link)
        except codec.CodecError as error:
            logs.log_event("link_rejected", error=str(error))
        finally:
            link.close()
            writer.join()

    def _read_link(self, link: Link) -> None:
        stream = link.read_messages()
        hello = next(stream, None)
        if not isinstance(hello, messages.Hello):
            return
        peer = hello.process_id
        if not self._put_in_use(link, hello):
            return
        self._deliver(LinkUp(peer, hello.role, hello.data_centre))
        try:
            for message in stream:
                if self._links.get(peer) is not link:
                    return
                self._deliver(Received(peer, message))
        finally:
            if self._links.get(peer) is link:
                del self._links[peer]
                logs.log_event("link_down", peer=peer)
                self._deliver(LinkDown(peer))

    def _put_in_use(self, link: Link, hello: messages.Hello) -> bool:
        """Puts a link into use unless a newer link of its peer is in use.

        Args:
            link: The link, on which `hello` was received.
            hello: The first message of the peer on the link.

        Returns:
            Whether the link is now in use.
        """
        peer = hello.process_id
        if peer not in self._settings.peers:
            logs.log_event("link_rejected", peer=peer, error="unknown peer")
            return False
        if not link.may_belong_to(peer):
            error = "the certificate does not name this process"
            logs.log_event("link_rejected", peer=peer, error=error)
            return False
        generation = (hello.incarnation, hello.link_number)
        if peer in self._links and generation <= self._generations[peer]:
            return False
        self._generations[peer] = generation
        old = self._links.get(peer)
        self._links[peer] = link
        if old is not None:
            old.close()
            self._deliver(LinkDown(peer))
        logs.log_event("link_up", peer=peer, number=hello.link_number)
        return True

    def close(self) -> None:
        """Closes the listening socket and all links."""
        if self._server is not None:
            self._server.stop(timeout=0)
        for link in list(self._links.values()):
            link.close()
