"""Refusals over HTTP as problem+json.

Takes an outcome that is no answer and gives status, headers and body. The
member `outcome` is `not-run` or `unknown`, so that a program can decide whether
sending again is safe.
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
        status: Status code and phrase.
        headers: Names and values.
        body: The body.
    """

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def build_json_response(
    status: str, document: object, content_type: str = "application/json"
) -> Response:
    """Builds a response with a JSON body.

    Args:
        status: Status code and phrase.
        document: Anything that msgspec encodes.
        content_type: The body's type.

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
    """Builds the refusal of a request.

    Args:
        outcome: What became of the request.
        request_id: Its id.

    Returns:
        The response, with Retry-After where the outcome has a time.
    """
    reason, detail, retry_after_ms, word = Reason.CALLER_GONE, "", 0, "unknown"
    match outcome:
        case outcomes.NotRun():
            reason, detail, word = outcome.reason, outcome.detail, "not-run"
            retry_after_ms = outcome.retry_after_ms
        case outcomes.Unknown():
            reason, detail = outcome.reason, outcome.detail
        case outcomes.Cancelled():
            # The caller is not there; one that still reads is told whether
            # sending again is safe.
            word = "unknown" if outcome.may_have_run else "not-run"
            detail = "the caller closed its connection"
    status = _STATUS_BY_REASON.get(reason, _DEFAULT_STATUS)
    name = reason.name.lower().replace("_", "-")
    response = build_json_response(
        status,
        {
            "type": f"urn:bambookeel:problem:{name}",
            "title": status.partition(" ")[2],
            "status": int(status[:3]),
            "detail": detail,
            "outcome": word,
            "reason": name,
            "request_id": request_id,
        },
        "application/problem+json",
    )
    if retry_after_ms > 0:
        seconds = str(-(-retry_after_ms // 1000))
        response.headers.append(("Retry-After", seconds))
    return response
