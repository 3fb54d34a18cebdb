"""A TCP relay that can cut, delay, silence and reset connections.

It is placed between a dialling process and its target. A cut holds bytes back
without closing connections, as a network partition does: the held bytes arrive
once the cut has healed. `silence_existing` drops all further bytes of the
present connections while new ones work; `reset_existing` closes the present
connections with a TCP reset.
"""

import enum
import struct
import typing

import gevent
import gevent.event
import gevent.server
import gevent.socket

from bambookeel.net import addresses

_CHUNK_BYTES = 65_536
_CONNECT_TIMEOUT_S = 2.0
# SO_LINGER with a timeout of zero makes a close send a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """The directions of bytes through a relay."""

    TO_TARGET = "to-target"
    FROM_TARGET = "from-target"


class Relay:
    """Relays connections from one address to another."""

    def __init__(self, listen: str, target: str, delay_ms: float = 0.0) -> None:
        self.listen = listen
        self._target = target
        self._delay_s = delay_ms / 1000.0
        self._flow_allowed = {
            direction: gevent.event.Event() for direction in Direction
        }
        self._sockets: set[typing.Any] = set()
        self._silenced: set[typing.Any] = set()
        self._server: gevent.server.StreamServer | None = None
        self.heal()

    def start(self) -> None:
        """Starts accepting connections."""
        self._server = gevent.server.StreamServer(
            addresses.parse_address(self.listen), self._handle_connection
        )
        self._server.start()

    def stop(self) -> None:
        """Refuses and closes all connections, as if the target was killed."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None
        for sock in list(self._sockets):
            sock.close()

    def cut(self, directions: tuple[Direction, ...] = tuple(Direction)) -> None:
        """Holds back all bytes in some directions.

        New connections wait, too, while the direction to the target is cut.

        Args:
            directions: The directions to cut.
        """
        for direction in directions:
            self._flow_allowed[direction].clear()

    def heal(self) -> None:
        """Ends the cuts: forwards held bytes and later ones."""
        for event in self._flow_allowed.values():
            event.set()

    def set_delay(self, delay_ms: float) -> None:
        """Sets the delay of bytes.

        Args:
            delay_ms: Delay of each chunk of bytes, per direction.
        """
        self._delay_s = delay_ms / 1000.0

    def reset_existing(self) -> None:
        """Closes the present connections with a TCP reset."""
        for sock in list(self._sockets):
            sock.setsockopt(
                gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, _LINGER_ZERO
            )
            sock.close()

    def silence_existing(self) -> None:
        """Drops all further bytes of the present connections."""
        self._silenced |= self._sockets

    def _handle_connection(
        self, client_socket: typing.Any, _address: typing.Any
    ) -> None:
        # A cut network establishes no connections either.
        self._flow_allowed[Direction.TO_TARGET].wait()
        try:
            target_socket = gevent.socket.create_connection(
                addresses.parse_address(self._target), _CONNECT_TIMEOUT_S
            )
        except OSError:
            client_socket.close()
            return
        target_socket.settimeout(None)
        sockets = (client_socket, target_socket)
        for sock in sockets:
            sock.setsockopt(
                gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1
            )
        self._sockets.update(sockets)
        copiers = [
            gevent.spawn(
                self._copy_bytes,
                client_socket,
                target_socket,
                Direction.TO_TARGET,
            ),
            gevent.spawn(
                self._copy_bytes,
                target_socket,
                client_socket,
                Direction.FROM_TARGET,
            ),
        ]
        gevent.joinall(copiers)
        self._sockets.difference_update(sockets)
        self._silenced.difference_update(sockets)

    def _copy_bytes(
        self, source: typing.Any, destination: typing.Any, direction: Direction
    ) -> None:
        """Copies bytes in one direction until either end closes.

        Args:
            source: Socket to read from.
            destination: Socket to write to.
            direction: Direction whose cuts apply.
        """
        try:
            while True:
                data = source.recv(_CHUNK_BYTES)
                if self._delay_s:
                    gevent.sleep(self._delay_s)
                self._flow_allowed[direction].wait()
                if source in self._silenced:
                    if not data:
                        return
                    continue
                if not data:
                    destination.shutdown(gevent.socket.SHUT_WR)
                    return
                destination.sendall(data)
        except OSError:
            source.close()
            destination.close()
