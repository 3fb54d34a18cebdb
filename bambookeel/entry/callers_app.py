"""The HTTP side of an entry: callers' requests and announcements.

The only module that knows how callers and backend servers shape their HTTP.
`/services/NAME/...` takes work, `/announce` takes a backend server's
announcement. Everything else is 404.
"""

from collections.abc import Callable
import itertools
import typing

import msgspec

from bambookeel.core import ids
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.entry import announcements
from bambookeel.entry import follower_task
from bambookeel.entry import requests
from bambookeel.entry import view
from bambookeel.net import backend_client
from bambookeel.net import problem
from bambookeel.runtime import clock
from bambookeel.runtime import metrics

_SERVICE_PREFIX = "/services/"
_MAX_ANNOUNCEMENT_BYTES = 4_096
_BEARER = "bearer "

StartResponse = Callable[[str, list[tuple[str, str]]], typing.Any]
Environ = dict[str, typing.Any]


class CallersApp:
    """The WSGI application of an entry."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        follower: follower_task.FollowerTask,
        runner: requests.RequestRunner,
        announced: announcements.Announcements,
    ) -> None:
        self._follower = follower
        self._runner = runner
        self._announced = announced
        self._id_prefix = f"{process_id}-{incarnation:x}-"
        self._numbers = itertools.count(1)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Answers one HTTP request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable for the head.

        Returns:
            The body.
        """
        target = environ["bambookeel.target"]
        if target.startswith(_SERVICE_PREFIX):
            response = self._serve_request(environ, target)
        elif target == "/announce":
            response = self._take_announcement(environ)
        else:
            response = problem.build_json_response(
                "404 Not Found", {"detail": f"no such path: {target}"}
            )
        start_response(response.status, response.headers)
        return [response.body]

    def _serve_request(self, environ: Environ, target: str) -> problem.Response:
        """Admits and runs a caller's request.

        Args:
            environ: WSGI environment.
            target: The raw target, `/services/NAME/...`.

        Returns:
            The backend server's answer, or a refusal.
        """
        request_id = f"{self._id_prefix}{next(self._numbers):x}"
        admitted = self._admit(environ, target, request_id)
        outcome: requests.RequestResult
        if isinstance(admitted, outcomes.NotRun):
            outcome = admitted
        else:
            outcome = self._runner.run(admitted)
        match outcome:
            case backend_client.BackendAnswer():
                metrics.count_outcome(outcomes.OutcomeKind.ANSWERED)
                headers = list(outcome.headers)
                headers.append(("Content-Length", str(len(outcome.body))))
                status = f"{outcome.status} {outcome.reason}"
                return problem.Response(status, headers, outcome.body)
            case outcomes.NotRun() | outcomes.Unknown():
                metrics.count_outcome(outcomes.get_outcome_kind(outcome))
                return problem.build_problem(outcome, request_id)

    def _admit(
        self, environ: Environ, target: str, request_id: str
    ) -> requests.AdmittedRequest | outcomes.NotRun:
        """Checks a request's key, service and bounds.

        Args:
            environ: WSGI environment.
            target: The raw target.
            request_id: The request's id.

        Returns:
            The admitted request, or the refusal.
        """
        name, _, rest = target[len(_SERVICE_PREFIX) :].partition("/")
        service = ids.ServiceName(name)
        if not self._follower.is_fresh():
            return outcomes.NotRun(
                outcomes.Reason.KEY_TABLE_STALE,
                "this entry has lost contact with control",
                retry_after_ms=1_000,
            )
        current = self._follower.view
        spec = view.get_service(current, service)
        if spec is None:
            return outcomes.NotRun(
                outcomes.Reason.SERVICE_UNKNOWN, f"no service {service!r}"
            )
        team = _find_team(current, environ, spec)
        if isinstance(team, outcomes.NotRun):
            return team
        body = _read_body(environ, spec.max_body_bytes)
        if isinstance(body, outcomes.NotRun):
            return body
        request = backend_client.BackendRequest(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            target="/" + rest,
            headers=_collect_headers(environ),
            body=body,
        )
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        return requests.AdmittedRequest(
            team=team,
            service=service,
            urgent=environ.get("HTTP_X_PRIORITY", "") == "urgent",
            deadline_ms=clock.read_now_ms() + _read_deadline(environ, spec),
            idempotency_key=ids.IdempotencyKey(f"{team}/{key}" if key else ""),
            request=request,
        )

    def _take_announcement(self, environ: Environ) -> problem.Response:
        """Takes in a backend server's announcement.

        Args:
            environ: WSGI environment.

        Returns:
            An empty answer, or the fault.
        """
        body = _read_body(environ, _MAX_ANNOUNCEMENT_BYTES)
        if isinstance(body, outcomes.NotRun):
            return problem.build_problem(body, "")
        try:
            self._announced.take(body)
        except msgspec.ValidationError as error:
            return problem.build_json_response(
                "400 Bad Request", {"detail": str(error)}
            )
        except msgspec.DecodeError as error:
            return problem.build_json_response(
                "400 Bad Request", {"detail": f"malformed JSON: {error}"}
            )
        return problem.Response("204 No Content", [], b"")


def _find_team(
    current: view.View, environ: Environ, spec: resources.ServiceSpec
) -> ids.TeamName | outcomes.NotRun:
    """Finds the team that a request's key speaks for.

    Args:
        current: The view.
        environ: WSGI environment.
        spec: The service.

    Returns:
        The team, empty for a request without key to an open queue; or the
        refusal.
    """
    header = environ.get("HTTP_AUTHORIZATION", "")
    if not header:
        if spec.open_to_all:
            return ids.TeamName("")
        return outcomes.NotRun(
            outcomes.Reason.KEY_MISSING,
            "send a team's key as 'Authorization: Bearer KEY'",
        )
    team = None
    if header[: len(_BEARER)].lower() == _BEARER:
        team = view.find_team(current, header[len(_BEARER) :].strip())
    if team is None:
        return outcomes.NotRun(
            outcomes.Reason.KEY_UNKNOWN, "the key is unknown or withdrawn"
        )
    return team


def _read_body(environ: Environ, max_bytes: int) -> bytes | outcomes.NotRun:
    """Reads a request's body within a bound.

    Args:
        environ: WSGI environment.
        max_bytes: The bound.

    Returns:
        The body, or the refusal.
    """
    declared = environ.get("CONTENT_LENGTH", "")
    if declared and (not declared.isdigit() or int(declared) > max_bytes):
        return outcomes.NotRun(
            outcomes.Reason.BODY_TOO_LARGE,
            f"the body of {declared} bytes exceeds {max_bytes} bytes",
        )
    try:
        body = environ["wsgi.input"].read(max_bytes + 1)
    except (OSError, ValueError) as error:
        return outcomes.NotRun(
            outcomes.Reason.REQUEST_MALFORMED, f"the body is broken: {error}"
        )
    if len(body) > max_bytes:
        return outcomes.NotRun(
            outcomes.Reason.BODY_TOO_LARGE,
            f"the body exceeds {max_bytes} bytes",
        )
    if declared and len(body) != int(declared):
        return outcomes.NotRun(
            outcomes.Reason.REQUEST_MALFORMED,
            f"the body ended after {len(body)} of {declared} bytes",
        )
    return body


def _collect_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = []
    for name, value in environ.items():
        if not name.startswith("HTTP_") or name == "HTTP_AUTHORIZATION":
            continue
        headers.append((name[5:].replace("_", "-").lower(), value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _read_deadline(environ: Environ, spec: resources.ServiceSpec) -> int:
    asked = environ.get("HTTP_X_DEADLINE_MS", "")
    if asked.isdigit() and 0 < int(asked) < spec.deadline_ms:
        return int(asked)
    return spec.deadline_ms
