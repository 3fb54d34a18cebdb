"""What a decision asks its task to do.

Decision modules give these records instead of acting, so that the same code
runs under a task and in a randomised run.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a process, which may be the own one."""

    to: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Log an event.

    Attributes:
        event: Its name.
        fields: Named values.
    """

    event: str
    fields: dict[str, str | int | float]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAllotments:
    """Ask control soon, because a team's allotment holds requests back."""


Effect = Send | LogEvent | RequestAllotments
