"""Effects: actions that the dispatch logic returns for its task to perform.

The dispatch modules return these records instead of performing I/O, so that the
same code runs in the dispatcher task and in randomised simulations.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a process, which may be this process itself."""

    to: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Log an event.

    Attributes:
        event: Name of the event.
        fields: Values by key.
    """

    event: str
    fields: dict[str, str | int | float]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestAllotments:
    """Send control an allotment request soon, as requests may be held back."""


Effect = Send | LogEvent | RequestAllotments
