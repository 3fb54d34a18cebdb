"""Divides a bounded number of bytes among unfinished requests.

Load pattern: many clients announce bodies at the same time, and some of them
send slowly or stop. A request reserves what its body needs before any of it is
read. While there is no room, the body stays with the client and in the buffers
of the kernel. Waiting requests are admitted by the address that uses the fewest
bytes or, of equal ones, got some the longest time ago; then by the key that
uses the fewest, and smaller ones first. A request that has stopped sending, or
is too slow to end in time, loses its bytes to those that wait.
"""

from collections.abc import Callable
import dataclasses
import typing

import gevent
import gevent.event

from bambookeel.runtime import clock

# A request without progress for this long loses its bytes to those that wait.
STALLED_MS = 1_000
# Requests are checked for progress this often while others wait.
_CHECK_MS = 250
# Limit of the addresses of which the last reservation is remembered.
_MAX_SERVED = 1_000


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """The bytes of one request.

    Attributes:
        address: Address of the client.
        key: Key of the client; empty if it sent none.
        need: Bytes that the request needs at most.
        time_ms: Time in which the client must send them.
        revoke: Called when the request loses its bytes; must not block.
        begun_ms: When the bytes were reserved or, while waiting, asked for.
        progress_ms: When the request last made progress.
        done: Bytes that have been sent.
        is_granted: Whether the bytes are reserved.
        granted: Set when they are.
        is_revoked: Whether the request has lost its bytes.
        is_served: Whether the request is complete and is being served; such a
            request keeps its bytes.
    """

    address: str
    key: str
    need: int
    time_ms: int
    revoke: Callable[[], None]
    begun_ms: int = 0
    progress_ms: int = 0
    done: int = 0
    is_granted: bool = False
    is_revoked: bool = False
    is_served: bool = False
    granted: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )

    def note_progress(self, done: int) -> None:
        """Notes that bytes were sent or received.

        Args:
            done: Bytes so far.
        """
        self.done = done
        self.progress_ms = clock.read_now_ms()

    def is_too_slow(self, now_ms: int) -> bool:
        """Returns whether the request may lose its bytes to those that wait.

        Args:
            now_ms: Steady time in milliseconds.

        Returns:
            Whether it has stalled, or will not end in time at its pace.
        """
        if self.is_served:
            return False
        if now_ms - self.progress_ms > STALLED_MS:
            return True
        took_ms = now_ms - self.begun_ms
        if took_ms <= STALLED_MS or not self.time_ms:
            return False
        return self.done < self.need * min(took_ms, self.time_ms) / self.time_ms


class Evicting:
    """Bytes that wait for clients; the oldest make room for new ones.

    `evict` is called with the owner of the bytes and must not block.
    """

    def __init__(
        self, total: int, evict: Callable[[typing.Any], typing.Any]
    ) -> None:
        self._total = total
        self._evict = evict
        # The oldest are first.
        self._counts: dict[typing.Any, int] = {}
        self.used = 0

    def begin(self, owner: typing.Any, count: int) -> None:
        """Counts the bytes of an owner, in place of those it had.

        Args:
            owner: Connection that the bytes are for.
            count: Number of bytes.
        """
        if owner in self._counts:
            self.end(owner)
        self._counts[owner] = count
        self.used += count
        while self.used > self._total and len(self._counts) > 1:
            oldest = next(iter(self._counts))
            self.end(oldest)
            self._evict(oldest)

    def end(self, owner: typing.Any) -> None:
        """Forgets the bytes of an owner.

        Args:
            owner: The owner; one without bytes is ignored.
        """
        self.used -= self._counts.pop(owner, 0)


class Pool:
    """Bytes that requests of one kind may use at the same time."""

    def __init__(self, total: int) -> None:
        self.total = total
        self.used = 0
        # Requests that have bytes, and those that wait, in order of arrival.
        self._holders: dict[Reservation, None] = {}
        self._waiting: dict[Reservation, None] = {}
        self._used_by: dict[str, int] = {}
        self._used_by_key: dict[tuple[str, str], int] = {}
        # Addresses that got bytes lately, the last one at the end.
        self._served: dict[str, int] = {}
        self._grants = 0

    def acquire(self, wanted: Reservation, wait_ms: int) -> bool:
        """Reserves bytes, and waits for them if there is no room.

        Args:
            wanted: What to reserve. A need above the pool's size is granted
                while nothing else is.
            wait_ms: How long to wait at most.

        Returns:
            Whether the bytes are reserved; they must then be released.
        """
        wanted.begun_ms = wanted.progress_ms = clock.read_now_ms()
        if not self._waiting and self._fits(wanted):
            self._grant(wanted)
            return True
        self._waiting[wanted] = None
        deadline_ms = wanted.begun_ms + wait_ms
        try:
            while not wanted.is_granted:
                self._revoke_slow()
                left_ms = deadline_ms - clock.read_now_ms()
                if left_ms <= 0 or wanted.is_revoked:
                    return False
                wanted.granted.wait(min(left_ms, _CHECK_MS) / 1000.0)
        finally:
            self._waiting.pop(wanted, None)
            if wanted.is_granted and wanted.is_revoked:
                self.release(wanted)
        return wanted.is_granted

    def release(self, held: Reservation) -> None:
        """Gives bytes back; later calls have no effect.

        Args:
            held: Reservation to end.
        """
        if held not in self._holders:
            return
        del self._holders[held]
        held.is_granted = False
        self._count(held, -1)
        self._admit()

    def take(self, count: int) -> bool:
        """Takes bytes for a body that has already arrived, without a wait.

        Args:
            count: Number of bytes.

        Returns:
            Whether there was room; they must then be given back.
        """
        if self._waiting or self.used + count > self.total:
            return False
        self.used += count
        return True

    def give_back(self, count: int) -> None:
        """Gives back bytes that were taken.

        Args:
            count: Number of bytes.
        """
        self.used -= count
        self._admit()

    def _admit(self) -> None:
        while self._waiting:
            best = min(self._waiting, key=self._rank)
            if not self._fits(best):
                return
            del self._waiting[best]
            self._grant(best)
            best.granted.set()

    def _fits(self, wanted: Reservation) -> bool:
        return not self.used or self.used + wanted.need <= self.total

    def _grant(self, wanted: Reservation) -> None:
        self._holders[wanted] = None
        wanted.is_granted = True
        wanted.begun_ms = wanted.progress_ms = clock.read_now_ms()
        self._count(wanted, 1)
        self._grants += 1
        self._served.pop(wanted.address, None)
        self._served[wanted.address] = self._grants
        if len(self._served) > _MAX_SERVED:
            del self._served[next(iter(self._served))]

    def _rank(self, wanted: Reservation) -> tuple[int, int, int, int]:
        return (
            self._used_by.get(wanted.address, 0),
            self._served.get(wanted.address, 0),
            self._used_by_key.get((wanted.address, wanted.key), 0),
            wanted.need,
        )

    def _count(self, changed: Reservation, sign: int) -> None:
        count = sign * changed.need
        self.used += count
        address, pair = changed.address, (changed.address, changed.key)
        self._used_by[address] = self._used_by.get(address, 0) + count
        self._used_by_key[pair] = self._used_by_key.get(pair, 0) + count
        if not self._used_by[address]:
            del self._used_by[address]
        if not self._used_by_key[pair]:
            del self._used_by_key[pair]

    def _revoke_slow(self) -> None:
        now_ms = clock.read_now_ms()
        for held in list(self._holders):
            if not held.is_revoked and held.is_too_slow(now_ms):
                held.is_revoked = True
                held.revoke()
