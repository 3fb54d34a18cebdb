"""The part of the replicated log that a core keeps in memory.

Entries up to the base are covered by a snapshot. `Log` is immutable; functions
that change it return a new one.
"""

import dataclasses

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Log:
    """Consecutive log entries after a base index.

    Attributes:
        base_index: Index of the last entry that was removed; 0 if none was.
        base_term: Term of the entry at `base_index`.
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
    """Looks up the term of an entry.

    Args:
        log: Log to look in.
        index: Index of the entry.

    Returns:
        The term; None if the log does not hold the entry.
    """
    if index == log.base_index:
        return log.base_term
    if index < log.base_index or index > log.last_index:
        return None
    return log.entries[index - log.base_index - 1].term


def append_entries(log: Log, entries: tuple[messages.LogEntry, ...]) -> Log:
    """Appends consecutive entries.

    Args:
        log: Log to extend.
        entries: Entries that directly follow the last one.

    Returns:
        The extended log.
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
    """Removes an entry and all later ones.

    Args:
        log: Log to truncate.
        index: First index that is removed.

    Returns:
        The truncated log.
    """
    kept = index - log.base_index - 1
    return dataclasses.replace(log, entries=log.entries[:kept])


def drop_prefix(log: Log, index: int) -> Log:
    """Removes the entries up to an index, which becomes the base.

    Args:
        log: Log to shorten.
        index: Index of the new base, at most the last index.

    Returns:
        The log with the new base; unchanged if it does not hold the index.
    """
    term = get_term(log, index)
    if term is None:
        return log
    kept = log.entries[index - log.base_index :]
    return Log(ids.LogIndex(index), term, kept)


def get_entries(
    log: Log, first: int, last: int, max_bytes: int = 1 << 62
) -> tuple[messages.LogEntry, ...]:
    """Returns the entries of a range, as far as a size limit allows.

    Args:
        log: Log to read from.
        first: First index of the range.
        last: Last index of the range, inclusive.
        max_bytes: Limit on the total payload bytes; the first entry is returned
            even if it is larger.

    Returns:
        Consecutive entries from `first` on.
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
    """Finds the first entry of the term that an entry belongs to.

    Args:
        log: Log to search.
        index: Index of an entry that the log holds.

    Returns:
        The smallest index in the log with the same term as `index`.
    """
    term = get_term(log, index)
    while index - 1 > log.base_index and get_term(log, index - 1) == term:
        index -= 1
    return index
