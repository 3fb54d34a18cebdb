"""A load generator that sends requests and records their outcomes.

It also acts as the platform's load balancer: an entry that refuses connections
or is not ready gets no new requests for a while, unless all are excluded.
"""

from collections.abc import Callable
import dataclasses
import itertools
import json
import random
import time

import gevent
import gevent.pool
import geventhttpclient
from geventhttpclient import response as http_response

from bambookeel.net import addresses
from bambookeel.runtime import clock
from dev import audit

_CONNECT_TIMEOUT_S = 2.0
_NETWORK_TIMEOUT_S = 40.0
# Time without new requests for an entry that refused a connection or was not
# ready.
_EXCLUSION_S = 0.5
_PROBE_PERIOD_S = 0.1
_PROBE_TIMEOUT_S = 0.3
_MAX_IN_FLIGHT = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Name and addresses of an entry.

    Attributes:
        name: Name of the process.
        caller_address: Its address for callers.
        admin_address: Its address for health checks.
    """

    name: str
    caller_address: str
    admin_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTemplate:
    """Properties that all requests of one kind share.

    Attributes:
        team: The team whose key is sent.
        work_ms: Time that the backend server spends on a request.
        headers: Further header fields, as pairs of name and value.
    """

    team: str
    work_ms: int = 5
    headers: tuple[tuple[str, str], ...] = ()


class LoadGenerator:
    """Sends requests of several teams through several entries."""

    def __init__(
        self,
        entries: list[Endpoint],
        services: tuple[str, ...],
        keys: dict[str, str],
        seed: int,
    ) -> None:
        self.records: list[audit.CallRecord] = []
        self._entries = entries
        self._services = services
        self._keys = keys
        self._random = random.Random(seed)
        self._work_numbers = itertools.count(1)
        self._run_id = f"{seed}-{time.time_ns():x}"
        self._excluded_until_s = {entry.name: 0.0 for entry in entries}
        self._pool = gevent.pool.Pool(_MAX_IN_FLIGHT)

    def probe_forever(self) -> None:
        """Probes the entries periodically and excludes those not ready."""
        while True:
            gevent.joinall(
                [gevent.spawn(self._probe, entry) for entry in self._entries]
            )
            gevent.sleep(_PROBE_PERIOD_S)

    def _probe(self, entry: Endpoint) -> None:
        host, port = addresses.parse_address(entry.admin_address)
        client = geventhttpclient.HTTPClient(
            host,
            port,
            connection_timeout=_PROBE_TIMEOUT_S,
            network_timeout=_PROBE_TIMEOUT_S,
        )
        try:
            is_ready = client.get("/readyz").status_code == 200
        except (OSError, http_response.HTTPParseError):
            is_ready = False
        finally:
            client.close()
        if not is_ready:
            self._exclude(entry)

    def _exclude(self, entry: Endpoint) -> None:
        self._excluded_until_s[entry.name] = time.monotonic() + _EXCLUSION_S

    def _choose_entry(self) -> Endpoint:
        now_s = time.monotonic()
        ready_entries = [
            entry
            for entry in self._entries
            if self._excluded_until_s[entry.name] < now_s
        ]
        return self._random.choice(ready_entries or self._entries)

    def send_one(self, template: RequestTemplate) -> audit.CallRecord:
        """Sends one request and records its outcome.

        Args:
            template: Properties of the request.

        Returns:
            The record, which is also added to `records`.
        """
        work_id = f"{self._run_id}-{next(self._work_numbers)}"
        service = self._random.choice(self._services)
        headers = {
            "Authorization": f"Bearer {self._keys[template.team]}",
            "X-Work-Id": work_id,
            "X-Work-Ms": str(template.work_ms),
            "X-Work-Team": template.team,
            **dict(template.headers),
        }
        started_ms = clock.read_wall_ms()
        for _ in range(2 * len(self._entries)):
            entry = self._choose_entry()
            outcome, reason = call_once(
                entry.caller_address, f"/services/{service}/work", headers
            )
            if reason != audit.CONNECTION_REFUSED:
                break
            # The entry has not received the request; try another one.
            self._exclude(entry)
        record = audit.CallRecord(
            work_id,
            template.team,
            entry.name,
            outcome,
            reason,
            started_ms,
            clock.read_wall_ms(),
        )
        self.records.append(record)
        return record

    def run_callers(
        self,
        callers: int,
        template: RequestTemplate,
        should_continue: Callable[[], bool],
    ) -> None:
        """Runs concurrent callers that each wait for an answer before the next.

        Args:
            callers: Number of callers.
            template: Properties of the requests.
            should_continue: Called before each request; false ends the callers.
        """

        def run_caller() -> None:
            while should_continue():
                record = self.send_one(template)
                if record.outcome is not audit.CallOutcome.ANSWERED:
                    gevent.sleep(0.05)

        gevent.joinall([gevent.spawn(run_caller) for _ in range(callers)])

    def run_arrivals(
        self,
        rate_per_s: float,
        template: RequestTemplate,
        should_continue: Callable[[], bool],
    ) -> None:
        """Sends requests at a fixed rate without waiting for the answers.

        Args:
            rate_per_s: Requests per second.
            template: Properties of the requests.
            should_continue: Called before each request; false ends the sending.
        """
        next_s = time.monotonic()
        while should_continue():
            self._pool.spawn(self.send_one, template)
            next_s += 1.0 / rate_per_s
            gevent.sleep(max(0.0, next_s - time.monotonic()))

    def join(self, timeout_s: float) -> int:
        """Waits until every request of `run_arrivals` has ended.

        Args:
            timeout_s: Longest time to wait.

        Returns:
            The number of requests that have not ended.
        """
        self._pool.join(timeout_s)
        return len(self._pool)


def call_once(
    entry: str, target: str, headers: dict[str, str]
) -> tuple[audit.CallOutcome, str]:
    """Sends one request on a new connection.

    Args:
        entry: Address of the entry.
        target: Path of the request.
        headers: Header fields; X-Work-Id must be among them and is compared
            with the id in the answer.

    Returns:
        The outcome, and the reason of a refusal or an error.
    """
    host, port = addresses.parse_address(entry)
    client = geventhttpclient.HTTPClient(
        host,
        port,
        connection_timeout=_CONNECT_TIMEOUT_S,
        network_timeout=_NETWORK_TIMEOUT_S,
    )
    try:
        answer = client.post(target, b"body", headers)
        body = bytes(answer.read())
    except ConnectionRefusedError:
        return audit.CallOutcome.NOT_RUN, audit.CONNECTION_REFUSED
    except (OSError, http_response.HTTPParseError) as error:
        return audit.CallOutcome.LOST, repr(error)
    finally:
        client.close()
    return classify_answer(answer.status_code, body, headers["X-Work-Id"])


def classify_answer(
    status: int, body: bytes, work_id: str
) -> tuple[audit.CallOutcome, str]:
    """Determines the outcome of a request from its HTTP answer.

    Args:
        status: HTTP status of the answer.
        body: Body of the answer, which should be JSON.
        work_id: The request's work id.

    Returns:
        The outcome, and the reason of a refusal or an error.
    """
    try:
        document = json.loads(body)
    except ValueError:
        return audit.CallOutcome.LOST, f"status {status} without JSON"
    if status == 200:
        if document.get("work_id") != work_id:
            return audit.CallOutcome.CROSSED, ""
        return audit.CallOutcome.ANSWERED, ""
    outcome = {
        "not-run": audit.CallOutcome.NOT_RUN,
        "unknown": audit.CallOutcome.UNKNOWN,
        "cancelled": audit.CallOutcome.UNKNOWN,
    }.get(document.get("outcome"), audit.CallOutcome.LOST)
    return outcome, str(document.get("reason", ""))
