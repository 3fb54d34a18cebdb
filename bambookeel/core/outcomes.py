"""The four outcomes of a request.

Every admitted request ends with exactly one of these, to be distinguished with
`match`. The difference between `NotRun` and `Unknown` is a guarantee: a caller
may send a `NotRun` request again without its work being run twice.
"""

import dataclasses
import enum


class Reason(enum.IntEnum):
    """Why a request was refused, cancelled or left with an unknown outcome."""

    NONE = 0
    KEY_MISSING = 1
    KEY_UNKNOWN = 2
    KEY_TABLE_STALE = 3
    SERVICE_UNKNOWN = 4
    REQUEST_MALFORMED = 5
    BODY_TOO_LARGE = 6
    QUEUE_FULL = 7
    DEADLINE_UNREACHABLE = 8
    TEAM_LIMIT = 9
    NO_DISPATCHER = 10
    NO_BACKEND = 11
    CONNECT_FAILED = 12
    BACKEND_REFUSED = 13
    CONNECTION_LOST = 14
    ANSWER_TIMEOUT = 15
    ANSWER_CUT = 16
    ANSWER_MISMATCH = 17
    ANSWER_TOO_LARGE = 18
    CALLER_GONE = 19
    STOPPING = 20
    STALE_EPOCH = 21
    DUPLICATE_UNKNOWN = 22
    OVERLOADED = 23
    CALLER_TOO_SLOW = 24
    HEAD_TOO_LARGE = 25
    KEY_REUSED = 26
    INTERNAL_FAULT = 27


class OutcomeKind(enum.IntEnum):
    """The kind of an outcome in messages and metrics."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2
    CANCELLED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The entry received the backend server's complete answer.

    Attributes:
        status: HTTP status of the answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The work did not run; the caller may send the request again.

    Attributes:
        reason: Why the request was refused.
        detail: One sentence for the caller.
        retry_after_ms: Time after which a retry may succeed; 0 if unknown.
    """

    reason: Reason
    detail: str
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The work may have run, completely or in part.

    Attributes:
        reason: What interrupted the request.
        detail: One sentence for the caller.
    """

    reason: Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller disconnected or cancelled the request.

    Attributes:
        may_have_run: Whether any byte of the request had been written to a
            socket.
    """

    may_have_run: bool


Outcome = Answered | NotRun | Unknown | Cancelled


def get_outcome_kind(outcome: Outcome) -> OutcomeKind:
    """Returns the kind of an outcome.

    Args:
        outcome: Any of the four outcomes.

    Returns:
        The kind, for messages and metric labels.
    """
    match outcome:
        case Answered():
            return OutcomeKind.ANSWERED
        case NotRun():
            return OutcomeKind.NOT_RUN
        case Unknown():
            return OutcomeKind.UNKNOWN
        case Cancelled():
            return OutcomeKind.CANCELLED
