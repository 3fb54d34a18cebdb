"""The part of the replicated log that a core keeps in memory.

Entries up to the base are covered by a snapshot. The record is immutable; every
function gives a new one.
"""

import dataclasses

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Consecutive entries after a base.

    Attributes:
        base_index: Index of the last entry that is no longer kept.
        base_term: Its term.
        entries: The entries from `base_index + 1` on.
    """

    base_index: ids.LogIndex = ids.LogIndex(0)
    base_term: ids.Term = ids.Term(0)
    entries: tuple[messages.LogEntry, ...] = ()

    @property
    def last_index(self) -> ids.LogIndex:
        """The index of the last entry."""
        return ids.LogIndex(self.base_index + len(self.entries))

    @property
    def last_term(self) -> ids.Term:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term


def get_term(log: Log, index: int) -> ids.Term | None:
    """Gives the term of an entry.

    Args:
        log: The log.
        index: The entry's index.

    Returns:
        The term, or None when the entry is not kept.
    """
    if index == log.base_index:
        return log.base_term
    if index < log.base_index or index > log.last_index:
        return None
    return log.entries[index - log.base_index - 1].term


def append_entries(log: Log, entries: tuple[messages.LogEntry, ...]) -> Log:
    """Appends consecutive entries.

    Args:
        log: The log.
        entries: The entries.

    Returns:
        The longer log.
    """
    expected = log.last_index + 1
    term = log.last_term
    for entry in entries:
        faults.check_invariant(
            entry.index == expected and entry.term >= term,
            f"entry {entry.index} of term {entry.term} does not follow"
            f" {expected - 1} of term {term}",
        )
        expected += 1
        term = entry.term
    return dataclasses.replace(log, entries=log.entries + entries)


def truncate_from(log: Log, index: int) -> Log:
    """Drops an entry and all after it.

    Args:
        log: The log.
        index: First dropped index.

    Returns:
        The shorter log.
    """
    kept = index - log.base_index - 1
    return dataclasses.replace(log, entries=log.entries[:kept])


def drop_prefix(log: Log, index: int) -> Log:
    """Drops the entries up to an index, which becomes the base.

    Args:
        log: The log.
        index: The new base, not beyond the last entry.

    Returns:
        The log with the new base.
    """
    term = get_term(log, index)
    if term is None:
        return log
    kept = log.entries[index - log.base_index :]
    return Log(ids.LogIndex(index), term, kept)


def get_entries(
    log: Log, first: int, last: int, max_bytes: int = 1 << 62
) -> tuple[messages.LogEntry, ...]:
    """Gives a range of entries.

    Args:
        log: The log.
        first: First index.
        last: Last index.
        max_bytes: Payload bytes after which the range ends, at least one entry.

    Returns:
        The entries.
    """
    start = first - log.base_index - 1
    found = log.entries[start : last - log.base_index]
    size = 0
    for i, entry in enumerate(found):
        size += len(entry.payload)
        if size > max_bytes and i > 0:
            return found[:i]
    return found


def find_first_of_term(log: Log, index: int) -> int:
    """Finds where the run of an entry's term begins.

    Args:
        log: The log.
        index: An index that is kept.

    Returns:
        The smallest kept index with the same term and no gap.
    """
    term = get_term(log, index)
    while index - 1 > log.base_index and get_term(log, index - 1) == term:
        index -= 1
    return index
