"""The configuration as one document with a version.

The highest version is in force. A document is checked as a whole, and every
fault is named; one with a fault is never stored.
"""

import typing

import msgspec

from bambookeel.core import faults
from bambookeel.jobs import specs

NonEmpty = typing.Annotated[str, msgspec.Meta(min_length=1)]


class Queue(msgspec.Struct, frozen=True):
    """Where jobs are handed in.

    Attributes:
        name: Its name.
        host: Host that callers name.
        path_prefix: Path before the job's id.
        service: The service whose workers run its tasks.
        timeout_ms: Longest wait of a caller's request.
        objective_ms: Time added to the length of the work.
        stretch: Multiple of the length of the work that the objective allows.
        priority: 0 comes first.
        max_attempts: Failed runs of a task after which its job has failed.
        is_open: Whether calls need no key.
        ticket_ms: How long an advisor's approval of a worker for a step holds;
            0 where no approval is needed.
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


class Service(msgspec.Struct, frozen=True):
    """A service and its pool of instances.

    Attributes:
        name: Its name, which is also the pool's.
        guards_capacity: Whether its workers refuse what does not fit.
        is_spare: Whether its pool holds the instances that are off.
    """

    name: NonEmpty
    guards_capacity: bool = False
    is_spare: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team with its keys, share and limit.

    Attributes:
        name: Its name.
        keys: Its keys.
        weight: Its share when everything is full.
        cap: Most that it may have running; 0 for no limit.
    """

    name: NonEmpty
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    cap: specs.Resources = specs.Resources()


class Document(msgspec.Struct, frozen=True):
    """A whole configuration.

    Attributes:
        version: Its version.
        queues: The queues.
        services: The services.
        teams: The teams.
        original: The bytes that were handed in, which reads give back.
    """

    version: typing.Annotated[int, msgspec.Meta(ge=0)]
    queues: tuple[Queue, ...]
    services: tuple[Service, ...]
    teams: tuple[Team, ...]
    original: bytes = b""


def find_faults(document: Document) -> tuple[faults.Fault, ...]:
    """Finds everything that is wrong with a document.

    Args:
        document: The document, whose fields have the right types.

    Returns:
        The faults; none when it may be in force.
    """
    found: list[faults.Fault] = []
    services = {service.name for service in document.services}
    if len(services) != len(document.services):
        found.append(faults.Fault("services", "two services share a name"))
    places: set[tuple[str, str]] = set()
    for queue in document.queues:
        at = f"queues.{queue.name}"
        if queue.service not in services:
            message = f"{queue.service!r} is no service of the document"
            found.append(faults.Fault(f"{at}.service", message))
        if queue.timeout_ms == 0:
            found.append(faults.Fault(f"{at}.timeout_ms", "must be above 0"))
        place = (queue.host, queue.path_prefix)
        if place in places:
            message = f"another queue has the place {place}"
            found.append(faults.Fault(f"{at}.path_prefix", message))
        places.add(place)
    found.extend(_find_key_faults(document.teams))
    return tuple(found)


def _find_key_faults(teams: tuple[Team, ...]) -> list[faults.Fault]:
    found = []
    owners: dict[str, str] = {}
    for team in teams:
        for key in team.keys:
            owner = owners.setdefault(key, team.name)
            if owner != team.name:
                message = f"shares a key with {owner}"
                found.append(faults.Fault(f"teams.{team.name}.keys", message))
    return found


class View:
    """A document with look-ups."""

    def __init__(self, document: Document) -> None:
        self.document = document
        self.queues = {queue.name: queue for queue in document.queues}
        self.services = {s.name: s for s in document.services}
        self.teams = {team.name: team for team in document.teams}
        self._team_of_key = {
            key: team.name for team in document.teams for key in team.keys
        }
        self._by_host: dict[str, list[Queue]] = {}
        for queue in document.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Finds the queue of a request by its longest prefix.

        Args:
            host: Host that the caller named.
            path: Path of the request.

        Returns:
            The queue, or None.
        """
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def find_team(self, key: str) -> Team | None:
        """Finds whose key it is.

        Args:
            key: The key.

        Returns:
            The team, or None.
        """
        name = self._team_of_key.get(key)
        return self.teams[name] if name is not None else None

    def find_spare_pool(self) -> str:
        """Finds the pool of instances that are off.

        Returns:
            Its name; empty when there is none.
        """
        for service in self.document.services:
            if service.is_spare:
                return service.name
        return ""


EMPTY = View(Document(0, (), (), ()))
