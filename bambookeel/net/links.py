"""Peer links: framed messages between the system's own processes.

Every pair of processes shares one TCP connection; the process with the smaller
id dials. Both ends send heartbeats, and an end that hears nothing for the
timeout closes the connection, so that a connection that went silent is replaced
by a new one. Links are numbered: the frames of an older link of the same pair
are dropped. Each frame carries its length and a hybrid logical stamp.
"""

from collections import deque
from collections.abc import Callable
import dataclasses
import socket as plain_socket
import struct
import typing

import gevent
import gevent.event
import gevent.server
import gevent.socket

from bambookeel.core import clocks
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.net import addresses
from bambookeel.net import codec
from bambookeel.runtime import clock
from bambookeel.runtime import link_metrics
from bambookeel.runtime import logs

_HEADER = struct.Struct(">IQ")
_RECEIVE_BYTES = 65_536
_SEND_BYTES = 16_384
# Frames that wait for a slow peer; past it the link is replaced.
_MAX_QUEUED_BYTES = 32 * 1024 * 1024
_FIRST_REDIAL_MS = 50
# A TLS socket that another task closes raises ValueError.
_CONNECTION_ERRORS = (OSError, ValueError)
_MAX_REDIAL_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class LinkUp:
    """A link to a peer is in use."""

    peer: ids.ProcessId
    role: messages.ProcessRole
    data_centre: ids.DataCentre


@dataclasses.dataclass(frozen=True, slots=True)
class LinkDown:
    """The link to a peer has ended."""

    peer: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message that came from a peer."""

    peer: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """How links are kept.

    Attributes:
        listen: Own address, `ip:port`.
        peers: Addresses of the peers by process id.
        heartbeat_ms: Time between heartbeats.
        timeout_ms: Silence after which a link is replaced.
        wrap_client: Turns a dialled socket into an authenticated one.
        wrap_server: The same for an accepted socket.
        is_peer: Tells whether an authenticated socket leads to a process.
    """

    listen: str
    peers: dict[ids.ProcessId, str]
    heartbeat_ms: int
    timeout_ms: int
    wrap_client: Callable[[typing.Any], typing.Any] | None = None
    wrap_server: Callable[[typing.Any], typing.Any] | None = None
    is_peer: Callable[[typing.Any, ids.ProcessId], bool] | None = None


class Link:
    """One connection to one peer, with its writer task."""

    def __init__(self, sock: typing.Any, settings: LinkSettings) -> None:
        self._socket = sock
        self._settings = settings
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._wake = gevent.event.Event()
        self._closed = False
        sock.settimeout(settings.timeout_ms / 1000.0)

    def leads_to(self, peer: ids.ProcessId) -> bool:
        """Tells whether the connection is authenticated for a process.

        Args:
            peer: The process that the other end says it is.

        Returns:
            Whether it is; always true on plain connections.
        """
        if self._settings.is_peer is None:
            return True
        return self._settings.is_peer(self._socket, peer)

    def enqueue(self, message: messages.Message) -> bool:
        """Queues a message for the writer.

        Args:
            message: The message.

        Returns:
            Whether it was queued; false on a closed or congested link.
        """
        if self._closed:
            return False
        body = codec.encode_message(message)
        stamp = clocks.encode_stamp(clock.PROCESS_CLOCK.tick())
        frame = _HEADER.pack(len(body), stamp) + body
        if self._queued_bytes + len(frame) > _MAX_QUEUED_BYTES:
            self.close()
            return False
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self._wake.set()
        return True

    def write_frames(self) -> None:
        """Writes queued frames, and heartbeats when there are none."""
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
                # Each part has the whole timeout: a large message takes longer
                # than that on a narrow link.
                for start in range(0, len(data), _SEND_BYTES):
                    self._socket.sendall(data[start : start + _SEND_BYTES])
            except _CONNECTION_ERRORS:
                self.close()
                return
            link_metrics.SENT_BYTES.inc(len(data))

    def read_messages(self) -> typing.Iterator[messages.Message]:
        """Reads messages until the link ends.

        Yields:
            Each message but heartbeats.
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
            for message in _take_messages(buffer):
                if isinstance(message, messages.LinkHeartbeat):
                    continue
                yield message

    def close(self) -> None:
        """Closes the connection; may be called more than once."""
        if self._closed:
            return
        self._closed = True
        self._wake.set()
        try:
            self._socket.shutdown(plain_socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()


def _take_messages(buffer: bytearray) -> list[messages.Message]:
    """Takes the complete frames from the front of a buffer.

    Args:
        buffer: Received bytes; complete frames are removed from it.

    Returns:
        The messages in order.

    Raises:
        codec.CodecError: If a frame is too long or no valid message.
    """
    found: list[messages.Message] = []
    start = 0
    while len(buffer) - start >= _HEADER.size:
        length, stamp = _HEADER.unpack_from(buffer, start)
        if length > codec.MAX_MESSAGE_BYTES:
            raise codec.CodecError(f"frame of {length} bytes is too long")
        end = start + _HEADER.size + length
        if len(buffer) < end:
            break
        clock.PROCESS_CLOCK.observe(stamp)
        body = bytes(buffer[start + _HEADER.size : end])
        found.append(codec.decode_message(body))
        start = end
    if start:
        del buffer[:start]
    return found


class PeerLinks:
    """Keeps one link to each peer and delivers what arrives.

    `deliver` is called in the reader's task with `LinkUp`, `Received` and
    `LinkDown`; it must not block.
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
        # Incarnation and link number of the link in use, by peer.
        self._lives: dict[ids.ProcessId, tuple[int, int]] = {}
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
            Process ids larger than the own one.
        """
        own = self._identity.process_id
        return [peer for peer in self._settings.peers if own < peer]

    def is_up(self, peer: ids.ProcessId) -> bool:
        """Tells whether a link to a peer is in use.

        Args:
            peer: The peer.

        Returns:
            Whether messages can be queued for it.
        """
        return peer in self._links

    def send(self, peer: ids.ProcessId, message: messages.Message) -> bool:
        """Queues a message for a peer.

        Args:
            peer: The peer.
            message: The message.

        Returns:
            Whether a link took it; it may still be lost with the link.
        """
        link = self._links.get(peer)
        if link is None:
            return False
        return link.enqueue(message)

    def dial_forever(self, peer: ids.ProcessId) -> None:
        """Keeps a dialled link to a peer; run as a task.

        Args:
            peer: The peer to dial.
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
        if not self._adopt(link, hello):
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

    def _adopt(self, link: Link, hello: messages.Hello) -> bool:
        """Puts a link into use unless a newer one is known.

        Args:
            link: The link.
            hello: The peer's first message on it.

        Returns:
            Whether the link is now the one in use.
        """
        peer = hello.process_id
        if peer not in self._settings.peers:
            logs.log_event("link_rejected", peer=peer, error="unknown peer")
            return False
        if not link.leads_to(peer):
            error = "the certificate is of another process"
            logs.log_event("link_rejected", peer=peer, error=error)
            return False
        life = (hello.incarnation, hello.link_number)
        if peer in self._links and life <= self._lives[peer]:
            return False
        self._lives[peer] = life
        old = self._links.get(peer)
        self._links[peer] = link
        if old is not None:
            old.close()
            self._deliver(LinkDown(peer))
        logs.log_event("link_up", peer=peer, number=hello.link_number)
        return True

    def close(self) -> None:
        """Stops accepting and closes every link."""
        if self._server is not None:
            self._server.stop(timeout=0)
        for link in list(self._links.values()):
            link.close()
