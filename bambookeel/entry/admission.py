"""Admits callers' requests: checks API key, service, size and header fields.

This module defines how a caller's HTTP request names its service, team,
deadline, priority and Idempotency-Key. Each request yields an admitted request
or a refusal whose detail states what would be accepted.
"""

import dataclasses
import typing

import xxhash

from bambookeel.core import ids
from bambookeel.core import outcomes
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.entry import caller_watch
from bambookeel.entry import follower_task
from bambookeel.entry import requests
from bambookeel.entry import slot_acquirer
from bambookeel.entry import view
from bambookeel.net import backend_client
from bambookeel.net import bodies
from bambookeel.net import headers
from bambookeel.runtime import clock

SERVICE_PREFIX = "/services/"
_BEARER = "bearer "
_MAX_KEY_BYTES = 256
_STALE_RETRY_MS = 1_000
_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))
# Messages carry fingerprints as signed 64-bit integers.
_FINGERPRINT_MASK = 2**63 - 1

Environ = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _Route:
    """The service and target of a request.

    Attributes:
        service: The service's name as the caller wrote it.
        target: Path and query for the backend server, as received.
    """

    service: ids.ServiceName
    target: str


def split_target(target: str) -> _Route:
    """Splits `/services/NAME/PATH` into service and path.

    Args:
        target: The raw target.

    Returns:
        The service, and path and query, which are passed on unchanged.
    """
    rest = target[len(SERVICE_PREFIX) :]
    for i, char in enumerate(rest):
        if char == "/":
            return _Route(ids.ServiceName(rest[:i]), "/" + rest[i + 1 :])
        if char == "?":
            return _Route(ids.ServiceName(rest[:i]), "/" + rest[i:])
    return _Route(ids.ServiceName(rest), "/")


class Admission:
    """Checks requests against the view of the replicated state."""

    def __init__(
        self,
        follower: follower_task.FollowerTask,
        limits: core_settings.EntryLimits,
    ) -> None:
        self._follower = follower
        self._limits = limits

    def has_service(self, service: ids.ServiceName) -> bool:
        """Checks whether a service exists.

        Args:
            service: The service's name.

        Returns:
            Whether the view of the replicated state contains it.
        """
        return view.get_service(self._follower.view, service) is not None

    def admit(
        self,
        environ: Environ,
        route: _Route,
        request_id: ids.RequestId,
        caller: caller_watch.Caller,
    ) -> requests.AdmittedRequest | outcomes.NotRun:
        """Checks a request and reads its body.

        Args:
            environ: WSGI environment.
            route: The service and target of the request.
            request_id: The request's id.
            caller: The caller that sent the request.

        Returns:
            The admitted request, or the refusal.
        """
        initial_view = self._follower.view
        checked = self._check(environ, route)
        if isinstance(checked, outcomes.NotRun):
            return checked
        team, spec = checked
        deadline_ms = clock.read_now_ms() + read_deadline(environ, spec)
        body = bodies.read_body(
            environ, spec.max_body_bytes, self._limits.body_timeout_ms
        )
        if isinstance(body, outcomes.NotRun):
            return body
        if (
            self._follower.view is not initial_view
            or not self._follower.is_fresh()
        ):
            # The key may have been withdrawn while a slow body was received.
            checked = self._check(environ, route)
            if isinstance(checked, outcomes.NotRun):
                return checked
        fields = environ["bambookeel.fields"]
        method = environ["REQUEST_METHOD"]
        request = backend_client.BackendRequest(
            request_id=request_id,
            method=method,
            target=route.target,
            headers=headers.build_request_fields(fields, team),
            body=body,
            idempotent=is_idempotent(environ),
        )
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        slot = slot_acquirer.SlotRequest(
            request_id=request_id,
            service=route.service,
            team=team,
            urgent=environ.get("HTTP_X_PRIORITY", "") == "urgent",
            deadline_ms=deadline_ms,
            idempotency_key=ids.IdempotencyKey(f"{team}/{key}" if key else ""),
            requested_at_ms=clock.read_now_ms(),
        )
        fingerprint = (
            compute_fingerprint(method, route.target, body) if key else 0
        )
        return requests.AdmittedRequest(
            slot, request, caller, fingerprint, spec.idempotency_ttl_ms
        )

    def _check(
        self, environ: Environ, route: _Route
    ) -> tuple[ids.TeamName, resources.ServiceSpec] | outcomes.NotRun:
        if not self._follower.is_fresh():
            return outcomes.NotRun(
                outcomes.Reason.KEY_TABLE_STALE,
                "this entry has lost contact with control",
                _STALE_RETRY_MS,
            )
        current_view = self._follower.view
        spec = view.get_service(current_view, route.service)
        if spec is None:
            return outcomes.NotRun(
                outcomes.Reason.SERVICE_UNKNOWN,
                f"there is no service {route.service!r}",
            )
        if len(environ.get("HTTP_IDEMPOTENCY_KEY", "")) > _MAX_KEY_BYTES:
            return outcomes.NotRun(
                outcomes.Reason.REQUEST_MALFORMED,
                f"Idempotency-Key exceeds {_MAX_KEY_BYTES} bytes",
            )
        team = _find_team(current_view, environ, spec)
        if isinstance(team, outcomes.NotRun):
            return team
        return team, spec


def _find_team(
    current_view: view.View, environ: Environ, spec: resources.ServiceSpec
) -> ids.TeamName | outcomes.NotRun:
    """Finds the team that a request's API key belongs to.

    Args:
        current_view: The view of the replicated state.
        environ: WSGI environment.
        spec: The service.

    Returns:
        The team, empty for a request without a key to a service that is open
        to all; or the refusal.
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
        team = view.find_team(current_view, header[len(_BEARER) :].strip())
    if team is None:
        return outcomes.NotRun(
            outcomes.Reason.KEY_UNKNOWN, "the key is unknown or withdrawn"
        )
    return team


def is_idempotent(environ: Environ) -> bool:
    """Checks whether a request is declared to be safe to run twice.

    Args:
        environ: WSGI environment.

    Returns:
        Whether its method or its X-Idempotent field declares it idempotent.
    """
    if environ["REQUEST_METHOD"] in _IDEMPOTENT_METHODS:
        return True
    return environ.get("HTTP_X_IDEMPOTENT", "").lower() == "true"


def compute_fingerprint(method: str, target: str, body: bytes) -> int:
    """Hashes a request, to compare it with repeats of its Idempotency-Key.

    Args:
        method: HTTP method.
        target: Path and query.
        body: The whole body.

    Returns:
        A 63-bit hash, which is equal for repeats of the request.
    """
    digest = xxhash.xxh3_64(f"{method} {target}\n".encode("latin-1"))
    digest.update(body)
    return digest.intdigest() & _FINGERPRINT_MASK


def read_deadline(environ: Environ, spec: resources.ServiceSpec) -> int:
    """Reads how long the caller will wait for the answer.

    Args:
        environ: WSGI environment.
        spec: The service; its deadline is the default and the maximum.

    Returns:
        The time in ms, at least 1.
    """
    requested = environ.get("HTTP_X_DEADLINE_MS", "")
    if requested.isascii() and requested.isdigit() and len(requested) < 10:
        return max(1, min(int(requested), spec.deadline_ms))
    return spec.deadline_ms
