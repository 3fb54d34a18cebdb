"""The configuration as one versioned document.

The document with the highest version is in force. A document is checked as a
whole and all its faults are reported; a document with a fault is never stored.
"""

import collections
from collections.abc import Iterable
import typing

import msgspec

from bambookeel.core import client_limits
from bambookeel.core import faults
from bambookeel.jobs import specs

NonEmpty = typing.Annotated[str, msgspec.Meta(min_length=1)]


class Queue(msgspec.Struct, frozen=True):
    """A queue to which callers submit jobs.

    A job should be complete within `stretch` times its length plus
    `objective_ms`, where the length is that of its longest chain of steps.

    Attributes:
        name: Name of the queue.
        host: Host name to which callers send requests for this queue.
        path_prefix: Start of the request path; the job's id follows it.
        service: Service whose workers run the queue's tasks.
        timeout_ms: Longest time that a caller's request may wait.
        objective_ms: Constant part of the completion objective.
        stretch: Factor for a job's length in the completion objective.
        priority: Lower numbers are scheduled first; 0 is the first.
        max_attempts: Failed runs of one task after which its job has failed.
        is_open: Whether calls without a key are accepted.
        ticket_ms: How long an advisor's approval of a worker for a step is
            valid; 0 where no approval is needed.
    """

    name: NonEmpty
    host: NonEmpty
    path_prefix: NonEmpty
    service: NonEmpty
    timeout_ms: typing.Annotated[int, msgspec.Meta(ge=0)]
    objective_ms: float = 0
    stretch: float = 1.0
    priority: int = 0
    max_attempts: typing.Annotated[int, msgspec.Meta(ge=0)] = 1
    is_open: bool = False
    ticket_ms: typing.Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def place(self) -> tuple[str, str]:
        """Host and start of the path, by which callers know the queue."""
        return self.host, self.path_prefix


class Service(msgspec.Struct, frozen=True):
    """A service and its pool of instances.

    Attributes:
        name: Name of both the service and its pool.
        guards_capacity: Whether its workers refuse tasks that exceed their
            free capacity.
        is_spare: Whether its pool holds the instances that are switched off.
    """

    name: NonEmpty
    guards_capacity: bool = False
    is_spare: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team with its keys, weight and limit.

    Attributes:
        name: Name of the team.
        keys: Keys with which the team's callers authenticate.
        weight: Weight of its share when there is not enough capacity for all.
        cap: Most resources that its running tasks may use; 0 for no limit.
    """

    name: NonEmpty
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    cap: specs.Resources = specs.Resources()


_Entry = typing.TypeVar("_Entry", Queue, Team)


class Document(msgspec.Struct, frozen=True):
    """A complete configuration.

    Attributes:
        version: Version number; the highest version is in force.
        queues: All queues.
        services: All services.
        teams: All teams.
        original: The bytes as submitted; reads return them unchanged.
        limits: Limits for callers.
    """

    version: typing.Annotated[int, msgspec.Meta(ge=0)]
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...]
    original: bytes = b""
    limits: client_limits.ClientLimits = client_limits.DEFAULT


def check_ranges(document: Document) -> Document:
    """Checks the ranges of all fields, which constructors do not check.

    The parts are checked one by one, since they are converted to dictionaries,
    which take several times the memory of the document.

    Args:
        document: A document whose fields have the right types.

    Returns:
        The same document.

    Raises:
        ValueError: If a field is out of its range.
    """
    for part in (*document.queues, *document.services, *document.teams):
        msgspec.convert(msgspec.to_builtins(part), type(part))
    bare = msgspec.structs.replace(
        document, queues=(), services=(), teams=(), original=b""
    )
    msgspec.convert(msgspec.to_builtins(bare), Document)
    return document


def find_faults(document: Document) -> tuple[faults.Fault, ...]:
    """Finds all faults of a document.

    Args:
        document: A document whose fields already have the right types.

    Returns:
        The faults; empty if the document may come into force.
    """
    found: list[faults.Fault] = []
    services = {service.name for service in document.services}
    if len(services) != len(document.services):
        found.append(faults.Fault("services", "two services share a name"))
    routes: set[tuple[str, str]] = set()
    for queue in document.queues:
        queue_place = f"queues.{queue.name}"
        if queue.service not in services:
            message = f"{queue.service!r} is no service of the document"
            found.append(faults.Fault(f"{queue_place}.service", message))
        if queue.timeout_ms == 0:
            found.append(
                faults.Fault(f"{queue_place}.timeout_ms", "must be above 0")
            )
        if queue.place in routes:
            message = f"another queue has the place {queue.place}"
            found.append(faults.Fault(f"{queue_place}.path_prefix", message))
        routes.add(queue.place)
    found.extend(_find_key_faults(document.teams))
    return tuple(found)


def _find_key_faults(teams: tuple[Team, ...]) -> list[faults.Fault]:
    found = []
    owners: dict[str, Team] = {}
    for team in teams:
        for key in team.keys:
            owner = owners.setdefault(key, team)
            if owner is not team:
                message = f"shares a key with {owner.name}"
                found.append(faults.Fault(f"teams.{team.name}.keys", message))
    return found


class UnusedNames:
    """Finds names that no other queue, or no other team, has."""

    def __init__(self, taken: Iterable[str]) -> None:
        self._taken = set(taken)
        self._numbers: collections.Counter[str] = collections.Counter()

    def find(self, name: str) -> str:
        """Finds an unused name, which then counts as used.

        Args:
            name: Name that is taken.

        Returns:
            The name with a number.
        """
        unused = name
        while unused in self._taken:
            self._numbers[name] += 1
            unused = f"{name} ({self._numbers[name] + 1})"
        self._taken.add(unused)
        return unused


def _index_by_name(entries: Iterable[_Entry]) -> dict[str, _Entry]:
    """Indexes queues or teams by name, of which several may share one.

    Args:
        entries: The queues or teams, which are told apart by their places or
            keys.

    Returns:
        The entries; of those that share a name, all but the first have got
        another one.
    """
    entries = tuple(entries)
    unused = UnusedNames(entry.name for entry in entries)
    by_name: dict[str, _Entry] = {}
    for entry in entries:
        if entry.name in by_name:
            name = unused.find(entry.name)
            entry = msgspec.structs.replace(entry, name=name)
        by_name[entry.name] = entry
    return by_name


class View:
    """A document with indexes for look-ups by name, key, host and path."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.queues = _index_by_name(document.queues)
        self.services = {s.name: s for s in document.services}
        self.teams = _index_by_name(document.teams)
        self._team_of_key = {
            key: team.name for team in self.teams.values() for key in team.keys
        }
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in self.queues.values():
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for queues in self._queues_by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Finds the queue of a request by the longest matching path prefix.

        Args:
            host: Host name in the request.
            path: Path of the request.

        Returns:
            The queue, or None if no queue of the host matches the path.
        """
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def find_team(self, key: str) -> Team | None:
        """Finds the team that a key belongs to.

        Args:
            key: Key as the caller sent it.

        Returns:
            The team, or None if the key is unknown.
        """
        name = self._team_of_key.get(key)
        return self.teams[name] if name is not None else None

    def find_spare_pool(self) -> str:
        """Finds the pool of instances that are switched off.

        Returns:
            The pool's name; empty if there is no such pool.
        """
        for service in self.document.services:
            if service.is_spare:
                return service.name
        return ""


EMPTY = View(Document(0, (), (), ()))
