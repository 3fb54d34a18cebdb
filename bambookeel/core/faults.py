"""Faults found in input, as records gathered beside a result.

A stage that checks input returns every fault it finds, so that one run reports
all of them. Formatting happens at the edge, in the command line or the API.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong with an input.

    Attributes:
        place: Where it is: a file with line, or a path such as `spec.limit`.
        message: The value found and what would be accepted.
    """

    place: str
    message: str


class InvariantError(Exception):
    """A broken invariant of the program; the process must end."""


def check_invariant(holds: bool, message: str) -> None:
    """Ends the process's work when an invariant does not hold.

    Args:
        holds: The invariant's truth.
        message: What was expected, for the log.

    Raises:
        InvariantError: If `holds` is false.
    """
    if not holds:
        raise InvariantError(message)
