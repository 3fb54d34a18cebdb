"""Refusals of the operators' API, and the HTTP responses that carry them.

A refusal is a problem+json document. Its `outcome` says whether the change may
have taken effect; each of its `faults` names the field, the value found and
the accepted values.
"""

import dataclasses

from bambookeel.control import events
from bambookeel.core import faults
from bambookeel.net import problem

NOT_RUN = "not-run"
UNKNOWN = "unknown"
_PROBLEM_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The reason for which a request is refused.

    Attributes:
        status: HTTP status code and phrase.
        detail: One sentence that states the reason.
        found: The faults of the request that led to the refusal.
        outcome: `NOT_RUN` if the change has no effect, `UNKNOWN` if it may
            have taken effect.
    """

    status: str
    detail: str
    found: tuple[faults.Fault, ...] = ()
    outcome: str = NOT_RUN


def build_response(refusal: Refusal) -> problem.Response:
    """Builds the HTTP response for a refusal.

    Args:
        refusal: The refusal to report.

    Returns:
        A problem+json response.
    """
    found = [
        {"place": fault.place, "message": fault.message}
        for fault in refusal.found
    ]
    document = {
        "title": refusal.status.partition(" ")[2],
        "status": int(refusal.status[:3]),
        "detail": refusal.detail,
        "outcome": refusal.outcome,
        "faults": found,
    }
    response = problem.build_json_response(
        refusal.status, document, _PROBLEM_TYPE
    )
    if refusal.status.startswith("401"):
        response.headers.append(("WWW-Authenticate", "Bearer"))
    if refusal.status.startswith("503"):
        response.headers.append(("Retry-After", "1"))
    return response


def refuse_value(place: str, value: str, accepted: str) -> Refusal:
    """Builds the refusal of one malformed value.

    Args:
        place: Name of the header, parameter or field.
        value: The value that the request has there.
        accepted: Description of the accepted values.

    Returns:
        A refusal with status 400.
    """
    message = f"{value!r} (accepted: {accepted})"
    return Refusal(
        "400 Bad Request",
        f"{place}: {message}",
        (faults.Fault(place, message),),
    )


def refuse_not_committed(outcome: events.NotCommitted) -> Refusal:
    """Builds the refusal of a request that no leader has answered.

    Args:
        outcome: The replica's reply.

    Returns:
        A refusal with status 503; its outcome says whether the change may take
        effect.
    """
    word = UNKNOWN if outcome.may_take_effect else NOT_RUN
    return Refusal("503 Service Unavailable", outcome.detail, (), word)
