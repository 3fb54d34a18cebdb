"""The HTTP interface of an entry: callers' requests and announcements.

Only this module and `admission` depend on the form of the HTTP requests of
callers and backend servers. `/services/NAME/...` accepts requests to a service,
`/announce` accepts announcements of backend servers; any other path is answered
with 404.
"""

from collections.abc import Callable
from collections.abc import Iterable
import http
import itertools
import socket as plain_socket
import struct
import typing

import msgspec

from bambookeel.core import ids
from bambookeel.core import outcomes
from bambookeel.entry import admission
from bambookeel.entry import announcements
from bambookeel.entry import caller_watch
from bambookeel.entry import keyed_requests
from bambookeel.entry import passed_answers
from bambookeel.entry import requests
from bambookeel.net import bodies
from bambookeel.net import http_handler
from bambookeel.net import problem
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import metrics

_MAX_ANNOUNCEMENT_BYTES = 4_096
_ANNOUNCEMENT_TIMEOUT_MS = 2_000
_UNKNOWN_SERVICE = ids.ServiceName("unknown")
_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}
_STATUSES_WITHOUT_BODY = (204, 304)

Write = Callable[[bytes], typing.Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Write]
Environ = dict[str, typing.Any]


class CallersApp:
    """The WSGI application of an entry."""

    def __init__(
        self,
        process_id: ids.ProcessId,
        incarnation: ids.Incarnation,
        request_admission: admission.Admission,
        runner: keyed_requests.KeyedRunner,
        watch: caller_watch.CallerWatch,
        announced: announcements.AnnouncementReceiver,
    ) -> None:
        self._admission = request_admission
        self._runner = runner
        self._watch = watch
        self._announced = announced
        self._id_prefix = f"{process_id}-{incarnation:x}-"
        self._request_numbers = itertools.count(1)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one HTTP request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable for the head.

        Returns:
            The body; empty if it has already been written.
        """
        target = environ["bambookeel.target"]
        if target.startswith(admission.SERVICE_PREFIX):
            return self._serve_request(environ, target, start_response)
        if target == "/announce":
            response = self._handle_announcement(environ)
        else:
            response = problem.build_json_response(
                "404 Not Found", {"detail": f"no such path: {target}"}
            )
        return _send_response(environ, start_response, response)

    def _serve_request(
        self, environ: Environ, target: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Admits and runs a caller's request.

        Args:
            environ: WSGI environment.
            target: The raw target, `/services/NAME/...`.
            start_response: WSGI callable for the head.

        Returns:
            The body of the answer or of the refusal.
        """
        started_ms = clock.read_now_ms()
        request_id = ids.RequestId(
            f"{self._id_prefix}{next(self._request_numbers):x}"
        )
        route = admission.split_target(target)
        caller = caller_watch.Caller(
            environ.get("bambookeel.socket"),
            environ["SERVER_PROTOCOL"] == "HTTP/1.1",
        )

        def count_outcome(outcome: outcomes.Outcome) -> None:
            self._record_outcome(route.service, request_id, outcome, started_ms)

        self._watch.add(caller)
        result: requests.RequestResult | None = None
        try:
            admitted = self._admission.admit(environ, route, request_id, caller)
            if isinstance(admitted, outcomes.NotRun):
                result = admitted
            else:
                result = self._runner.run(admitted, count_outcome)
        finally:
            if not _is_streamed(result):
                self._watch.remove(caller)
        caller.answer_started = True
        match result:
            case passed_answers.PassedAnswer(status=status, rest=None):
                count_outcome(outcomes.Answered(status))
                return _send_whole_answer(
                    environ, start_response, result, request_id
                )
            case passed_answers.PassedAnswer():
                return self._stream_answer(
                    environ, start_response, result, request_id, caller
                )
            case _:
                count_outcome(result)
                response = problem.build_problem(result, request_id)
                return _send_response(environ, start_response, response)

    def _stream_answer(
        self,
        environ: Environ,
        start_response: StartResponse,
        answer: passed_answers.PassedAnswer,
        request_id: ids.RequestId,
        caller: caller_watch.Caller,
    ) -> Iterable[bytes]:
        """Streams an answer to its caller as its parts arrive.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable for the head.
            answer: The answer, of which parts are still to be read.
            request_id: The request.
            caller: The caller; watched until the answer ends.

        Returns:
            An empty body, as the parts have been written already.
        """
        rest = typing.cast(passed_answers.AnswerRest, answer.rest)
        fields = _add_request_id(list(answer.headers), request_id)
        if environ["SERVER_PROTOCOL"] != "HTTP/1.1":
            fields.append(("Connection", "close"))
        status = answer.status
        reason = answer.reason or _PHRASES.get(status, "")
        try:
            write = start_response(f"{status} {reason}", fields)
            # The head is sent at once, since the first part may take long to
            # arrive.
            write(b"")
            for part in rest.read_parts():
                write(part)
        except passed_answers.CutAnswerError:
            _reset_on_close(environ["bambookeel.socket"])
            raise
        finally:
            rest.close()
            self._watch.remove(caller)
        return ()

    def _record_outcome(
        self,
        service: ids.ServiceName,
        request_id: ids.RequestId,
        outcome: outcomes.Outcome,
        started_ms: int,
    ) -> None:
        duration_ms = clock.read_now_ms() - started_ms
        kind = outcomes.get_outcome_kind(outcome)
        # Only names of existing services become metric labels.
        known = self._admission.has_service(service)
        label = service if known else _UNKNOWN_SERVICE
        metrics.count_outcome(label, kind, duration_ms)
        match outcome:
            case outcomes.Answered():
                return
            case outcomes.NotRun(reason=reason) | outcomes.Unknown(
                reason=reason
            ):
                metrics.count_refusal(reason)
            case outcomes.Cancelled():
                reason = outcomes.Reason.CALLER_GONE
        logs.log_event(
            "request_ended",
            request=request_id,
            service=label,
            outcome=kind.name.lower(),
            reason=reason.name.lower(),
            duration_ms=duration_ms,
        )

    def _handle_announcement(self, environ: Environ) -> problem.Response:
        """Handles a backend server's announcement.

        Args:
            environ: WSGI environment.

        Returns:
            An empty answer, or the error.
        """
        if environ["REQUEST_METHOD"] != "POST":
            return problem.build_json_response(
                "405 Method Not Allowed", {"detail": "announce with POST"}
            )
        body = bodies.read_body(
            environ, _MAX_ANNOUNCEMENT_BYTES, _ANNOUNCEMENT_TIMEOUT_MS
        )
        if isinstance(body, outcomes.NotRun):
            return problem.build_problem(body, "")
        try:
            self._announced.receive(body)
        except msgspec.ValidationError as error:
            return problem.build_json_response(
                "400 Bad Request", {"detail": str(error)}
            )
        except (
            msgspec.DecodeError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            return problem.build_json_response(
                "400 Bad Request", {"detail": f"malformed JSON: {error}"}
            )
        return problem.Response("204 No Content", [], b"")


def _reset_on_close(sock: typing.Any) -> None:
    """Makes the close of a connection send a reset.

    A caller of HTTP/1.0 would take an orderly close for the end of the answer.

    Args:
        sock: The caller's connection.
    """
    try:
        sock.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_LINGER,
            struct.pack("ii", 1, 0),
        )
    except OSError:
        pass


def _is_streamed(result: requests.RequestResult | None) -> bool:
    return (
        isinstance(result, passed_answers.PassedAnswer)
        and result.rest is not None
    )


def _add_request_id(
    fields: list[tuple[str, str]], request_id: ids.RequestId
) -> list[tuple[str, str]]:
    """Adds the request's id to an answer that has none.

    Args:
        fields: Header fields; changed in place.
        request_id: The request's id.

    Returns:
        The same list.
    """
    if all(name.lower() != "x-request-id" for name, _ in fields):
        fields.append(("X-Request-Id", request_id))
    return fields


def _send_whole_answer(
    environ: Environ,
    start_response: StartResponse,
    answer: passed_answers.PassedAnswer,
    request_id: ids.RequestId,
) -> Iterable[bytes]:
    """Sends an answer whose whole body has been read.

    Args:
        environ: WSGI environment.
        start_response: WSGI callable for the head.
        answer: The answer.
        request_id: The request.

    Returns:
        The body.
    """
    status = answer.status
    keeps_length = environ["REQUEST_METHOD"] == "HEAD"
    fields = [
        field
        for field in answer.headers
        if keeps_length or field[0].lower() != "content-length"
    ]
    if not keeps_length and status not in _STATUSES_WITHOUT_BODY:
        fields.append(("Content-Length", str(len(answer.body))))
    fields = _add_request_id(fields, request_id)
    reason = answer.reason or _PHRASES.get(status, "")
    start_response(f"{status} {reason}", fields)
    return [answer.body]


def _send_response(
    environ: Environ, start_response: StartResponse, response: problem.Response
) -> Iterable[bytes]:
    """Sends an answer that the entry itself made.

    Args:
        environ: WSGI environment.
        start_response: WSGI callable for the head.
        response: The answer.

    Returns:
        The body; empty for HEAD.
    """
    http_handler.end_unread_body(environ)
    start_response(response.status, response.headers)
    if environ["REQUEST_METHOD"] == "HEAD":
        return []
    return [response.body]
