"""Bounds what clients that nobody controls can use of a process.

All ports of a process share the descriptors and the memory of its machine. Each
port has a bound of connections of its own, so that a crowd on one port leaves
room on the others. At the bound a connection that waits for its client is
closed: first those that never sent a request, of the address with the most, the
oldest first; then those whose request or answer makes no progress; then idle
ones. Bytes of unfinished requests are reserved in pools (`byte_pools`).
"""

import dataclasses
import enum
import socket as plain_socket
import time
import typing

import gevent

from bambookeel.net import byte_pools
from bambookeel.net import client_sizes
from bambookeel.runtime import client_metrics

# Machine of a node whose settings do not name its limits.
DEFAULT_MEMORY_MB = 200
DEFAULT_MAX_FDS = 4_100
# Descriptors for files, logs and connections that the process itself opens.
_RESERVED_FDS = 200
_BYTES_PER_MB = 1024 * 1024
# The pools together take this part of the machine's memory. A busy leader uses
# 160 MB of 424 MB, and decoding takes a multiple of a body for a moment.
_MEMORY_PART = 1 / 7
# An idle connection costs about this much (docs/CAPACITY.md), and connections
# take at most this part of the memory.
_CONNECTION_BYTES = 20 * 1024
_CONNECTION_MEMORY_PART = 1 / 3
# Bodies up to this size are in a pool of their own and wait for no larger ones.
SMALL_BYTES = 32 * 1024
# Largest body of the control port, and of a configuration.
LARGE_BYTES = 4 * 1024 * 1024
# Wait for room in a pool; within the time that callers wait for their answers.
POOL_WAIT_MS = 1_500
# Smaller answers are not counted; the number of connections bounds their sum.
UNCOUNTED_ANSWER_BYTES = 2_048
# A request that is being received, or an answer that is being sent, for longer
# than this counts as slow.
_SLOW_S = 1.0
_MIN_CONNECTIONS = 8
# Requests of one connection after which other tasks run.
_REQUESTS_IN_A_ROW = 64
_END_OF_HEAD = b"\r\n\r\n"

# Connections that a server accepts at a time. Their tasks start, and closed
# ones give their descriptors back, before it accepts more.
MAX_ACCEPT = 16
# Closed connections of a port whose tasks have not ended yet, at most.
_MAX_CLOSING = 16


class Phase(enum.IntEnum):
    """What a connection waits for."""

    IDLE = 0  # The next request.
    RECEIVING = 1  # The rest of a request.
    SERVING = 2  # The application.
    ANSWERING = 3  # The client, which reads the answer.


@dataclasses.dataclass(slots=True, eq=False)
class Client:
    """One connection of a client.

    Attributes:
        socket: Its socket.
        address: Address of the client.
        port: Port that it uses.
        phase: What it waits for.
        since_s: When the phase began, or the client last made progress.
        requests: Number of requests that have been served.
        held: Bytes that are reserved for its request, each with its pool.
        ready_bytes: Bytes of the present body that arrived with its head.
        taken: Bytes of small bodies that were taken for the request.
        is_refused: Whether the body of the present request was refused.
        is_closed: Whether it has been closed by the guard.
        has_slow_head: Whether its head did not arrive at once.
    """

    socket: typing.Any
    address: str
    port: "Port"
    phase: Phase = Phase.IDLE
    since_s: float = 0.0
    requests: int = 0
    held: list[tuple[byte_pools.Pool, byte_pools.Reservation]] = (
        dataclasses.field(default_factory=list)
    )
    ready_bytes: int = 0
    taken: int = 0
    is_refused: bool = False
    is_closed: bool = False
    has_slow_head: bool = False

    def begin(self, phase: Phase) -> None:
        """Notes that a phase has begun.

        Args:
            phase: The phase.
        """
        self.phase = phase
        self.since_s = time.monotonic()

    def reserve(
        self,
        pool: str,
        need: int,
        key: str = "",
        time_ms: int = 0,
        wait_ms: int = POOL_WAIT_MS,
    ) -> byte_pools.Reservation | None:
        """Reserves bytes until the request ends; may wait for them.

        Args:
            pool: Name of the pool.
            need: Bytes that are needed at most.
            key: Key of the client; empty if it sent none.
            time_ms: Time in which the client must send them; 0 if it sends
                none.
            wait_ms: How long to wait at most.

        Returns:
            The reservation; None if there was no room in time.
        """
        chosen = self.port.guard.pools[pool]
        wanted = byte_pools.Reservation(
            self.address, key, need, time_ms, self.stop_receiving
        )
        if not chosen.acquire(wanted, wait_ms):
            client_metrics.count_refused(f"{pool}_full")
            return None
        self.held.append((chosen, wanted))
        return wanted

    def release(
        self, reservation: byte_pools.Reservation | None = None
    ) -> None:
        """Gives reserved bytes back.

        Args:
            reservation: Reservation to end; None for all of the request.
        """
        for pool, held in list(self.held):
            if reservation is None or held is reservation:
                pool.release(held)
                self.held.remove((pool, held))

    def mark_served(self) -> None:
        """Marks the request as complete, so that it keeps its bytes."""
        self.phase = Phase.SERVING
        for _, held in self.held:
            held.is_served = True

    def begin_request(self, received: bytes, max_head_bytes: int) -> None:
        """Notes that a request has begun to arrive.

        Args:
            received: Its bytes that have arrived.
            max_head_bytes: Largest size of its head.
        """
        self.begin(Phase.RECEIVING)
        end = received.find(_END_OF_HEAD)
        if end >= 0:
            self.ready_bytes = len(received) - end - len(_END_OF_HEAD)
            return
        self.ready_bytes = 0
        self.port.guard.heads.begin(self, max_head_bytes)
        self.has_slow_head = True

    def end_head(self) -> None:
        """Notes that the head has arrived."""
        self.phase = Phase.SERVING
        if self.has_slow_head:
            self.has_slow_head = False
            self.port.guard.heads.end(self)

    def take_ready(self, count: int) -> bool:
        """Takes the bytes of a body that has arrived with its head.

        Args:
            count: Size of the body.

        Returns:
            Whether the whole body has arrived and there was room for it.
        """
        small = self.port.guard.pools["small"]
        if count > self.ready_bytes or not small.take(count):
            return False
        self.taken += count
        return True

    def mark_answering(self) -> None:
        """Notes that the client must now read the answer to go on."""
        self.begin(Phase.ANSWERING)
        for _, held in self.held:
            held.is_served = False
            held.time_ms = 0
            held.note_progress(0)

    def note_progress(self) -> None:
        """Notes that the client has read a part of the answer."""
        self.since_s = time.monotonic()
        for _, held in self.held:
            held.note_progress(held.done)

    def end_request(self) -> None:
        """Gives back everything that the request has reserved."""
        self.end_head()
        self.phase = Phase.IDLE
        self.is_refused = False
        if self.held:
            self.release()
        if self.taken:
            self.port.guard.pools["small"].give_back(self.taken)
            self.taken = 0
        self.requests += 1
        if self.requests % _REQUESTS_IN_A_ROW == 0:
            # For clients that do not wait for their answers.
            gevent.sleep(0)

    def stop_receiving(self) -> None:
        """Ends the wait for the client, which can still be told why."""
        if self.phase is Phase.ANSWERING:
            self.close("answer_not_taken")
            return
        client_metrics.count_refused("too_slow")
        _shut_down(self.socket, plain_socket.SHUT_RD)

    def close(self, reason: str) -> None:
        """Closes the connection; the task that serves it then ends.

        Args:
            reason: Why, for the metrics.
        """
        if self.is_closed:
            return
        self.is_closed = True
        client_metrics.count_closed(reason)
        _shut_down(self.socket, plain_socket.SHUT_RDWR)


def _shut_down(sock: typing.Any, how: int) -> None:
    try:
        sock.shutdown(how)
    except (OSError, AttributeError):
        pass


class Port:
    """The connections of one port.

    Attributes:
        guard: The bounds of the process.
        pool: Name of the pool for the port's large bodies.
        max_connections: Bound of the port's connections.
    """

    def __init__(
        self, guard: "ClientGuard", name: str, max_connections: int
    ) -> None:
        self.guard = guard
        self.pool = name if name in guard.pools else "small"
        self.max_connections = max_connections
        self._clients: dict[Client, None] = {}
        # Connections that made room, but whose tasks have not ended.
        self._closing: set[Client] = set()

    def open(self, sock: typing.Any, address: str) -> Client | None:
        """Counts a new connection, and closes another one at the bound.

        Args:
            sock: Socket of the connection.
            address: Address of the client.

        Returns:
            The connection; None if there is no room for it.
        """
        if len(self._clients) >= self.max_connections:
            is_full = len(self._closing) >= _MAX_CLOSING
            victim = None if is_full else self._choose_victim()
            if victim is None:
                client_metrics.count_closed("no_room")
                return None
            victim.close("made_room")
            del self._clients[victim]
            self._closing.add(victim)
        client = Client(sock, address, self, since_s=time.monotonic())
        self._clients[client] = None
        return client

    def end(self, client: Client) -> None:
        """Forgets a connection that has ended.

        Args:
            client: The connection.
        """
        client.end_request()
        self.guard.answers.end(client)
        self._clients.pop(client, None)
        self._closing.discard(client)

    def _choose_victim(self) -> Client | None:
        now_s = time.monotonic()
        counts: dict[str, int] = {}
        for client in self._clients:
            counts[client.address] = counts.get(client.address, 0) + 1
        found = None
        best = (0, 0, 0.0)
        for client in self._clients:
            rank = _rank_victim(client, now_s)
            if rank is None:
                continue
            order = (rank, -counts[client.address], client.since_s)
            if found is None or order < best:
                found, best = client, order
        return found


def _rank_victim(client: Client, now_s: float) -> int | None:
    """Ranks a connection for being closed; the lowest rank is closed first.

    Args:
        client: The connection.
        now_s: Steady time in seconds.

    Returns:
        The rank; None if the connection must not be closed.
    """
    match client.phase:
        case Phase.IDLE:
            return 2 if client.requests else 0
        case Phase.RECEIVING | Phase.ANSWERING:
            return 1 if now_s - client.since_s > _SLOW_S else None
    return None


class ClientGuard:
    """The bounds of a process for what its clients can use.

    Attributes:
        pools: Pools of bytes by name.
        heads: Bytes of heads that have not arrived.
        answers: Bytes of answers that have not been taken.
        ports: Ports by name.
    """

    def __init__(
        self,
        memory_mb: float = DEFAULT_MEMORY_MB,
        max_fds: int = DEFAULT_MAX_FDS,
    ) -> None:
        memory = (memory_mb or DEFAULT_MEMORY_MB) * _BYTES_PER_MB
        self.pools = {
            name: byte_pools.Pool(max(least, int(memory * _MEMORY_PART * part)))
            for name, (part, least) in client_sizes.POOLS.items()
        }
        connections = min(
            (max_fds or DEFAULT_MAX_FDS) - _RESERVED_FDS,
            memory * _CONNECTION_MEMORY_PART / _CONNECTION_BYTES,
        )
        self.ports = {
            name: Port(self, name, max(_MIN_CONNECTIONS, int(connections * p)))
            for name, p in client_sizes.CONNECTION_PARTS.items()
        }
        # Heads that have not arrived, and answers that have not been taken.
        self.heads = byte_pools.Evicting(
            self.pools.pop("heads").total,
            lambda client: client.close("head_too_slow"),
        )
        self.answers = byte_pools.Evicting(
            self.pools.pop("answers").total,
            lambda client: client.close("answer_not_taken"),
        )

    def count_buffered_bytes(self) -> int:
        """Counts the bytes that are reserved or wait for clients.

        Returns:
            Number of bytes.
        """
        waiting = self.heads.used + self.answers.used
        return waiting + sum(pool.used for pool in self.pools.values())
