"""Builds the HTTP responses for requests that were not answered.

Each outcome other than `Answered` has a response with a problem+json body. Its
member `outcome` is `not-run` or `unknown`, from which a program can decide
whether it is safe to send the request again.
"""

import dataclasses

import msgspec

from bambookeel.core import outcomes
from bambookeel.core.outcomes import Reason

_STATUS_BY_REASON = {
    Reason.KEY_MISSING: "401 Unauthorized",
    Reason.KEY_UNKNOWN: "401 Unauthorized",
    Reason.SERVICE_UNKNOWN: "404 Not Found",
    Reason.REQUEST_MALFORMED: "400 Bad Request",
    Reason.BODY_TOO_LARGE: "413 Content Too Large",
    Reason.INTERNAL_FAULT: "500 Internal Server Error",
    Reason.HEAD_TOO_LARGE: "431 Request Header Fields Too Large",
    Reason.CALLER_TOO_SLOW: "408 Request Timeout",
    Reason.KEY_REUSED: "422 Unprocessable Content",
    Reason.CALLER_GONE: "499 Client Closed Request",
    Reason.TEAM_LIMIT: "429 Too Many Requests",
    Reason.DUPLICATE_UNKNOWN: "409 Conflict",
    Reason.CONNECTION_LOST: "502 Bad Gateway",
    Reason.ANSWER_CUT: "502 Bad Gateway",
    Reason.ANSWER_MISMATCH: "502 Bad Gateway",
    Reason.ANSWER_TOO_LARGE: "502 Bad Gateway",
    Reason.ANSWER_TIMEOUT: "504 Gateway Timeout",
}
_DEFAULT_STATUS = "503 Service Unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response.

    Attributes:
        status: Status code and reason phrase.
        headers: Names and values of the header fields.
        body: The encoded body.
    """

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def build_json_response(
    status: str, document: object, content_type: str = "application/json"
) -> Response:
    """Builds a response with a JSON body.

    Args:
        status: Status code and reason phrase.
        document: Any object that msgspec can encode.
        content_type: Media type of the body.

    Returns:
        The response.
    """
    body = msgspec.json.encode(document) + b"\n"
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    ]
    return Response(status, headers, body)


def build_problem(
    outcome: outcomes.NotRun | outcomes.Unknown | outcomes.Cancelled,
    request_id: str,
) -> Response:
    """Builds the response to a request that was not answered.

    Args:
        outcome: The outcome of the request.
        request_id: Id of the request; empty if it has none.

    Returns:
        The response, with Retry-After if the outcome has a retry time.
    """
    reason, detail, retry_after_ms, kind = Reason.CALLER_GONE, "", 0, "unknown"
    match outcome:
        case outcomes.NotRun():
            reason, detail, kind = outcome.reason, outcome.detail, "not-run"
            retry_after_ms = outcome.retry_after_ms
        case outcomes.Unknown():
            reason, detail = outcome.reason, outcome.detail
        case outcomes.Cancelled():
            # The caller has usually gone. One that still reads the response
            # learns whether it is safe to send the request again.
            kind = "unknown" if outcome.may_have_run else "not-run"
            detail = "the caller closed its connection"
    status = _STATUS_BY_REASON.get(reason, _DEFAULT_STATUS)
    reason_name = reason.name.lower().replace("_", "-")
    response = build_json_response(
        status,
        {
            "type": f"urn:bambookeel:problem:{reason_name}",
            "title": status.partition(" ")[2],
            "status": int(status[:3]),
            "detail": detail,
            "outcome": kind,
            "reason": reason_name,
            "request_id": request_id,
        },
        "application/problem+json",
    )
    if retry_after_ms > 0:
        seconds = str(-(-retry_after_ms // 1000))
        response.headers.append(("Retry-After", seconds))
    return response
