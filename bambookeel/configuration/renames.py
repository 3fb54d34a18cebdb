"""Finds the queues and teams of a new configuration that are known already.

Callers know the place of a queue (host and path) and the keys of a team, but no
names. So an entry of a configuration is the queue that had its place, or the
team that had one of its keys, whatever their names. The name alone decides only
in the version that gives an entry a new place, or exchanges all its keys: there
is no other link to the entry of that name which was in force until then.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import typing

import msgspec

from bambookeel.configuration import document as configuration

Entry = typing.TypeVar("Entry", bound=configuration.Queue | configuration.Team)
# What a caller knows an entry by: the place of a queue or a key of a team.
Mark = tuple[str, str] | str


def _list_marks(entry: configuration.Queue | configuration.Team) -> list[Mark]:
    """Lists what callers know a queue or a team by.

    Args:
        entry: The queue or team.

    Returns:
        The place of the queue, or the keys of the team.
    """
    match entry:
        case configuration.Queue():
            return [entry.place]
        case configuration.Team():
            return list(entry.keys)


@dataclasses.dataclass(slots=True)
class Former:
    """Queues and teams with jobs that are not configured any more.

    Attributes:
        queues: The queues, by names that no configured queue has.
        teams: The teams, by names that no configured team has.
    """

    queues: dict[str, configuration.Queue] = dataclasses.field(
        default_factory=dict
    )
    teams: dict[str, configuration.Team] = dataclasses.field(
        default_factory=dict
    )

    def follow(
        self,
        before: configuration.View,
        after: configuration.View,
        used_queues: Set[str],
        used_teams: Set[str],
    ) -> tuple[dict[str, str], dict[str, str]]:
        """Updates the former queues and teams, and finds the renamed ones.

        Args:
            before: The configuration that is replaced.
            after: The new configuration.
            used_queues: Names of the queues that have jobs.
            used_teams: Names of the teams that have jobs.

        Returns:
            New names of the renamed queues and of the renamed teams, by their
            earlier names.
        """
        queues, self.queues = _follow_entries(
            self.queues, before.queues, after.queues, used_queues
        )
        teams, self.teams = _follow_entries(
            self.teams, before.teams, after.teams, used_teams
        )
        return queues, teams


def _follow_entries(
    former: Mapping[str, Entry],
    before: Mapping[str, Entry],
    after: Mapping[str, Entry],
    used: Set[str],
) -> tuple[dict[str, str], dict[str, Entry]]:
    """Names the entries that are known after a change of the configuration.

    Args:
        former: Entries that are no longer configured, by name.
        before: Entries of the configuration that is replaced, by name.
        after: Entries of the new configuration, by name.
        used: Names of the entries that have jobs; others are forgotten once
            they are no longer configured.

    Returns:
        New names of the entries that were renamed, by their earlier names; and
        the entries that are not configured now, by names that no other has.
    """
    renamed = {}
    later_former: dict[str, Entry] = {}
    continued = _find_continued(former, before, after)
    unused = configuration.UnusedNames({*before, *after, *former})
    for name, entry in (*former.items(), *before.items()):
        later = continued.get(name)
        if later is None and name not in used:
            continue
        if later is None:
            later = unused.find(name) if name in after else name
            later_former[later] = msgspec.structs.replace(entry, name=later)
        if later != name:
            renamed[name] = later
    return renamed, later_former


def _find_continued(
    former: Mapping[str, Entry],
    before: Mapping[str, Entry],
    after: Mapping[str, Entry],
) -> dict[str, str]:
    """Finds as which entries of a new configuration the known ones continue.

    Args:
        former: Entries that are no longer configured, by name.
        before: Entries of the configuration that is replaced, by name.
        after: Entries of the new configuration, by name.

    Returns:
        Name in the new configuration, by known name; each at most once.
    """
    # Entries that were in force come first.
    holders: dict[Mark, list[str]] = {}
    for name, entry in (*before.items(), *former.items()):
        for mark in _list_marks(entry):
            holders.setdefault(mark, []).append(name)
    continued: dict[str, str] = {}
    left = dict(after)
    # Keys may have been divided between entries, of which one has kept the
    # name.
    for later, entry in after.items():
        if later in _list_holders(holders, entry):
            continued[later] = later
            del left[later]
    for later, entry in list(left.items()):
        for name in _list_holders(holders, entry):
            if name not in continued:
                continued[name] = later
                del left[later]
                break
    for later, entry in left.items():
        is_new = not any(True for _ in _list_holders(holders, entry))
        if is_new and later in before and later not in continued:
            continued[later] = later
    return continued


def _list_holders(
    holders: Mapping[Mark, list[str]], entry: Entry
) -> Iterator[str]:
    """Lists the known entries that have a mark of another one.

    Args:
        holders: Names of the known entries by mark.
        entry: An entry of the new configuration.

    Yields:
        Their names, in the order of the marks.
    """
    for mark in _list_marks(entry):
        yield from holders.get(mark, ())
