"""WSGI application of the operators' API.

`/v1/KIND` lists resources, `/v1/KIND/NAME` gets, puts and deletes one,
`/v1/bundle` changes several atomically, `/v1/watch` streams changes and
`/v1/status` reports the state of the deployment. This module authenticates the
operator and routes the request to the other modules of this package.
"""

from collections.abc import Callable
import typing

from bambookeel.api import answers
from bambookeel.api import authority
from bambookeel.api import changes
from bambookeel.api import reads
from bambookeel.api import replica_client
from bambookeel.api import requests
from bambookeel.api import status
from bambookeel.api import watch
from bambookeel.control import events
from bambookeel.control import stream_task
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.net import problem
from bambookeel.runtime import clock
from bambookeel.state import model

_WATCH = "watch"
_STATUS = "status"


class OperatorApp:
    """The WSGI application of a control process."""

    def __init__(
        self,
        settings: core_settings.ControlSettings,
        replica: replica_client.Replica,
        streams: stream_task.StreamTask,
    ) -> None:
        self._settings = settings
        self._replica = replica_client.ReplicaClient(replica)
        self._streams = streams
        self._watches = watch.Watches(streams)

    def stop(self) -> None:
        """Ends all watches, as open ones keep the server from stopping."""
        self._watches.stop()

    def __call__(
        self,
        environ: requests.Environ,
        start_response: Callable[..., typing.Any],
    ) -> typing.Iterable[bytes]:
        """Handles one HTTP request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable that sends status and headers.

        Returns:
            The body of the response in parts.
        """
        response = self._answer(environ)
        if isinstance(response, requests.Request):
            return watch.answer_watch(self._watches, response, start_response)
        start_response(response.status, response.headers)
        return [response.body]

    def _answer(
        self, environ: requests.Environ
    ) -> problem.Response | requests.Request:
        """Authenticates and handles a request, except for watches.

        Args:
            environ: WSGI environment.

        Returns:
            The response; for a watch the authenticated request, as its
            response is streamed.
        """
        request = requests.parse_request(environ)
        if isinstance(request, answers.Refusal):
            return answers.build_response(request)
        state = self._read_state(request)
        if isinstance(state, events.NotCommitted):
            return answers.build_response(answers.refuse_not_committed(state))
        operator = authority.find_operator(
            state, request.secret, self._settings.bootstrap_key_sha256
        )
        if operator is None:
            detail = (
                "the key is missing, unknown, withdrawn or a team's (accepted:"
                " an operator's key as 'Authorization: Bearer KEY')"
            )
            refusal = answers.Refusal("401 Unauthorized", detail)
            return answers.build_response(refusal)
        context = changes.RequestContext(operator, state, self._replica)
        return self._route(request, context)

    def _read_state(
        self, request: requests.Request
    ) -> model.State | events.NotCommitted:
        """Reads the state with which to handle a request.

        Args:
            request: Request with its method, path and flag `stale`.

        Returns:
            For watches, the status and reads with `stale` the state that this
            replica has applied. Otherwise the state with every acknowledged
            change, or why it cannot be read.
        """
        may_be_stale = request.method == "GET" and (
            request.has_flag("stale") or request.parts[0] in (_WATCH, _STATUS)
        )
        if may_be_stale:
            return self._replica.get_view().state
        return self._replica.read()

    def _route(
        self, request: requests.Request, context: changes.RequestContext
    ) -> problem.Response | requests.Request:
        """Routes an authenticated request by its method and path.

        Args:
            request: The request to route.
            context: Operator, state and replica of the request.

        Returns:
            The response; for a watch the request itself.
        """
        match (request.method, request.parts):
            case ("GET", (part,)) if part == _WATCH:
                return request
            case ("GET", (part,)) if part == _STATUS:
                return self._build_status()
            case ("POST", ("bundle",)):
                return changes.apply_bundle(request, context)
        kind = _find_kind(request.parts[0])
        if kind is None:
            accepted = ", ".join(kind.value for kind in resources.Kind)
            detail = (
                f"kind {request.parts[0][:80]!r} is unknown (accepted:"
                f" {accepted}; GET also watch and status; POST also bundle)"
            )
            refusal = answers.Refusal("404 Not Found", detail)
            return answers.build_response(refusal)
        return _route_resource(request, context, kind)

    def _build_status(self) -> problem.Response:
        now_ms = clock.read_now_ms()
        return status.build_status(
            self._settings,
            self._replica.get_view(),
            self._streams.followers.list_rows(now_ms),
            now_ms,
        )


def _find_kind(text: str) -> resources.Kind | None:
    for kind in resources.Kind:
        if kind.value == text:
            return kind
    return None


def _route_resource(
    request: requests.Request,
    context: changes.RequestContext,
    kind: resources.Kind,
) -> problem.Response:
    """Routes a request for resources of one kind.

    Args:
        request: The request to route.
        context: Operator, state and replica of the request.
        kind: The kind that the path names.

    Returns:
        The response; status 405 if the method is not allowed for the path.
    """
    is_key = kind is resources.Kind.KEY
    match (request.method, request.parts):
        case ("GET", (_,)):
            return reads.list_resources(context.state, kind, request)
        case ("GET", (_, name)):
            return reads.get_resource(context.state, kind, name)
        case ("PUT", (_, name)):
            return changes.put_resource(request, context, kind, name)
        case ("POST", (_, name)) if is_key:
            return changes.create_key(request, context, name)
        case ("DELETE", (_, name)):
            return changes.delete_resource(request, context, kind, name)
    accepted = "GET /v1/KIND, GET, PUT and DELETE /v1/KIND/NAME"
    if is_key:
        accepted += ", POST /v1/key/NAME"
    detail = (
        f"{request.method[:20]} is not for this path (accepted: {accepted})"
    )
    refusal = answers.Refusal("405 Method Not Allowed", detail)
    return answers.build_response(refusal)
