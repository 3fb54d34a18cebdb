"""Answers of the operators' API: documents, and refusals with their faults.

A refusal is problem+json whose `outcome` tells whether the change may have
taken effect, and whose `faults` name the field, the value and what would be
accepted.
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
    """Why a request is refused.

    Attributes:
        status: HTTP status code and phrase.
        detail: One sentence.
        found: The faults behind it.
        outcome: Whether anything may have taken effect.
    """

    status: str
    detail: str
    found: tuple[faults.Fault, ...] = ()
    outcome: str = NOT_RUN


def build_response(refusal: Refusal) -> problem.Response:
    """Builds the response of a refusal.

    Args:
        refusal: The refusal.

    Returns:
        The response.
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
    """Refuses one value of a request.

    Args:
        place: The header, parameter or field.
        value: What was found.
        accepted: What would be accepted.

    Returns:
        The refusal.
    """
    message = f"{value!r} (accepted: {accepted})"
    return Refusal(
        "400 Bad Request",
        f"{place}: {message}",
        (faults.Fault(place, message),),
    )


def refuse_not_committed(outcome: events.NotCommitted) -> Refusal:
    """Refuses what got no answer from a leader.

    Args:
        outcome: What the replica said.

    Returns:
        The refusal, which tells whether the change may take effect.
    """
    word = UNKNOWN if outcome.may_take_effect else NOT_RUN
    return Refusal("503 Service Unavailable", outcome.detail, (), word)
