"""Records of faults found in input, and checks of program invariants.

A function that checks input returns every fault that it finds, so that one run
reports all of them. The command line and the API format them for output.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault in an input.

    Attributes:
        place: Location of the fault: a file with a line number, or a path such
            as `spec.limit`.
        message: The value found, and which values are accepted.
    """

    place: str
    message: str


class InvariantError(Exception):
    """An invariant of the program is violated; the process must end."""


def check_invariant(holds: bool, message: str) -> None:
    """Raises an error if an invariant does not hold.

    The supervisor ends the process on this error, since the process's state
    can no longer be trusted.

    Args:
        holds: Whether the invariant holds.
        message: What is wrong if it does not hold, for the log.

    Raises:
        InvariantError: If `holds` is false.
    """
    if not holds:
        raise InvariantError(message)
