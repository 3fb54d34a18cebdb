"""The resource API of operators over HTTP.

`/v1/KIND` lists, `/v1/KIND/NAME` gets, puts and deletes. `If-Match` carries the
expected version, `X-Command-Id` makes a change idempotent. Keys of teams and
operators are created with `POST /v1/key/NAME`, whose answer shows the secret
once.
"""

from collections.abc import Callable
import hashlib
import hmac
import secrets
import typing

import gevent
import gevent.event
import msgspec

from bambookeel.control import events
from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.net import problem
from bambookeel.runtime import mailbox
from bambookeel.state import commands
from bambookeel.state import keys
from bambookeel.state import model

_MAX_BODY_BYTES = 1024 * 1024
_REPLY_TIMEOUT_S = 5.0
_STATUS_BY_CODE = {
    commands.OutcomeCode.APPLIED: "200 OK",
    commands.OutcomeCode.CONFLICT: "409 Conflict",
    commands.OutcomeCode.INVALID: "422 Unprocessable Content",
    commands.OutcomeCode.NOT_FOUND: "404 Not Found",
}
Environ = dict[str, typing.Any]


class OperatorApp:
    """The WSGI application of a control process."""

    def __init__(
        self, replica: mailbox.Mailbox, bootstrap_key_sha256: str
    ) -> None:
        self._replica = replica
        self._bootstrap_key_sha256 = bootstrap_key_sha256

    def __call__(
        self, environ: Environ, start_response: Callable[..., typing.Any]
    ) -> list[bytes]:
        """Answers one HTTP request.

        Args:
            environ: WSGI environment.
            start_response: WSGI callable for the head.

        Returns:
            The body.
        """
        response = self._answer(environ)
        start_response(response.status, response.headers)
        return [response.body]

    def _answer(self, environ: Environ) -> problem.Response:
        if not self._is_operator(environ):
            return _build_fault(
                "401 Unauthorized", "an operator's key is needed"
            )
        parts = environ["PATH_INFO"].strip("/").split("/")
        if parts[0] != "v1" or len(parts) not in (2, 3):
            return _build_fault("404 Not Found", "no such path")
        try:
            kind = resources.Kind(parts[1])
        except ValueError:
            accepted = ", ".join(kind.value for kind in resources.Kind)
            detail = f"kind {parts[1]!r} is unknown (accepted: {accepted})"
            return _build_fault("404 Not Found", detail)
        name = parts[2] if len(parts) == 3 else ""
        method = environ["REQUEST_METHOD"]
        match method:
            case "GET":
                return self._read(kind, name)
            case "PUT" if name:
                return self._put(environ, kind, name)
            case "POST" if name and kind is resources.Kind.KEY:
                return self._create_key(environ, name)
            case "DELETE" if name:
                change = commands.Delete(kind, name, _read_version(environ))
                return self._commit(environ, change, {})
        return _build_fault("405 Method Not Allowed", f"method {method}")

    def _is_operator(self, environ: Environ) -> bool:
        header = environ.get("HTTP_AUTHORIZATION", "")
        secret = header.removeprefix("Bearer ").encode("utf-8")
        digest = hashlib.sha256(secret).hexdigest()
        return hmac.compare_digest(digest, self._bootstrap_key_sha256)

    def _read(self, kind: resources.Kind, name: str) -> problem.Response:
        """Answers a read with what holds.

        Args:
            kind: The kind.
            name: The name; empty for a list.

        Returns:
            The response.
        """
        reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
        state = self._ask(events.LocalRead(reply), reply)
        if not isinstance(state, model.State):
            return _build_not_committed(state)
        found = [
            msgspec.to_builtins(model.store_resource(resource))
            for resource in state.by_key.values()
            if resource.kind is kind and name in ("", resource.name)
        ]
        if not name:
            document = {"version": state.version, "items": found}
            return problem.build_json_response("200 OK", document)
        if not found:
            return _build_fault("404 Not Found", f"no {kind.value} {name!r}")
        return problem.build_json_response("200 OK", found[0])

    def _put(
        self, environ: Environ, kind: resources.Kind, name: str
    ) -> problem.Response:
        """Creates or replaces a resource's spec.

        Args:
            environ: WSGI environment.
            kind: The kind.
            name: The name.

        Returns:
            The response.
        """
        body = environ["wsgi.input"].read(_MAX_BODY_BYTES)
        try:
            spec = msgspec.json.decode(body, type=dict[str, typing.Any])
        except msgspec.DecodeError as error:
            return _build_fault("400 Bad Request", f"malformed JSON: {error}")
        version = _read_version(environ)
        change = commands.PutSpec(kind, name, version, spec)
        return self._commit(environ, change, {})

    def _create_key(self, environ: Environ, name: str) -> problem.Response:
        """Creates a key and shows its secret.

        Args:
            environ: WSGI environment; the body names `team` or `operator`.
            name: The key's id.

        Returns:
            The response with the secret.
        """
        body = environ["wsgi.input"].read(_MAX_BODY_BYTES)
        try:
            owner = msgspec.json.decode(body, type=dict[str, str])
        except msgspec.DecodeError as error:
            return _build_fault("400 Bad Request", f"malformed JSON: {error}")
        key = keys.create_key(
            ids.KeyId(name), owner.get("team", ""), owner.get("operator", "")
        )
        change = commands.PutSpec(
            resources.Kind.KEY,
            name,
            commands.MUST_NOT_EXIST,
            msgspec.to_builtins(key.spec),
        )
        return self._commit(environ, change, {"secret": key.secret})

    def _commit(
        self,
        environ: Environ,
        change: commands.Change,
        extra: dict[str, str],
    ) -> problem.Response:
        """Commits one change and answers with its outcome.

        Args:
            environ: WSGI environment.
            change: The change.
            extra: Members added to the answer of an applied change.

        Returns:
            The response.
        """
        command_id = environ.get("HTTP_X_COMMAND_ID") or secrets.token_hex(16)
        command = commands.Command(
            ids.CommandId(command_id),
            "operator",
            (commands.wrap_change(change),),
        )
        reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
        outcome = self._ask(events.LocalCommand(command, reply), reply)
        if not isinstance(outcome, commands.CommandOutcome):
            return _build_not_committed(outcome)
        document = msgspec.to_builtins(outcome)
        if outcome.code is commands.OutcomeCode.APPLIED:
            document.update(extra)
        status = _STATUS_BY_CODE[outcome.code]
        return problem.build_json_response(status, document)

    def _ask(
        self, message: typing.Any, reply: gevent.event.AsyncResult
    ) -> typing.Any:
        if not self._replica.put(message):
            return events.NotCommitted(False, "the replica is overloaded")
        try:
            return reply.get(timeout=_REPLY_TIMEOUT_S)
        except gevent.Timeout:
            return events.NotCommitted(True, "no answer in time")


def _read_version(environ: Environ) -> ids.StateVersion:
    text = environ.get("HTTP_IF_MATCH", "").strip('"')
    if text.isdigit():
        return ids.StateVersion(int(text))
    return commands.ANY_VERSION


def _build_fault(status: str, detail: str) -> problem.Response:
    return problem.build_json_response(
        status, {"detail": detail, "status": int(status[:3])}
    )


def _build_not_committed(outcome: events.NotCommitted) -> problem.Response:
    word = "unknown" if outcome.may_take_effect else "not-run"
    return problem.build_json_response(
        "503 Service Unavailable",
        {"detail": outcome.detail, "outcome": word, "status": 503},
    )
