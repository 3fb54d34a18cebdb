"""Callers that send requests and record what they are told."""

from collections import Counter
from collections.abc import Callable
import itertools
import json
import random
import time
import typing

import gevent
import geventhttpclient
from geventhttpclient import response as http_response

from bambookeel.net import addresses
from dev import audit

_NETWORK_TIMEOUT_S = 40.0


class Load:
    """Sends requests of several teams through several entries."""

    def __init__(
        self,
        entries: list[str],
        services: tuple[str, ...],
        keys: dict[str, str],
        seed: int,
    ) -> None:
        self.records: list[audit.CallRecord] = []
        self._entries = entries
        self._services = services
        self._keys = keys
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._run_id = f"{seed}-{time.time_ns():x}"

    def send_one(
        self, work_ms: int = 5, headers: dict[str, str] | None = None
    ) -> audit.CallRecord:
        """Sends one request and records what came of it.

        Args:
            work_ms: Time that the backend server takes.
            headers: Further header fields.

        Returns:
            The record, which is also kept.
        """
        work_id = f"{self._run_id}-{next(self._numbers)}"
        service = self._random.choice(self._services)
        team = self._random.choice(list(self._keys))
        entry = self._random.choice(self._entries)
        sent = {
            "Authorization": f"Bearer {self._keys[team]}",
            "X-Work-Id": work_id,
            "X-Work-Ms": str(work_ms),
            **(headers or {}),
        }
        started = time.monotonic()
        told, reason = call_once(entry, f"/services/{service}/work", sent)
        duration_ms = (time.monotonic() - started) * 1000.0
        record = audit.CallRecord(work_id, told, reason, duration_ms)
        self.records.append(record)
        return record

    def run_callers(
        self, callers: int, keep_going: Callable[[], bool], work_ms: int = 5
    ) -> None:
        """Runs callers side by side until told to end.

        Args:
            callers: How many.
            keep_going: Asked before each request.
            work_ms: Time that the backend server takes.
        """

        def run_caller() -> None:
            while keep_going():
                record = self.send_one(work_ms)
                if record.told is not audit.Told.ANSWERED:
                    gevent.sleep(0.05)

        gevent.joinall([gevent.spawn(run_caller) for _ in range(callers)])


def call_once(
    entry: str, target: str, headers: dict[str, str]
) -> tuple[audit.Told, str]:
    """Sends one request on a connection of its own.

    Args:
        entry: The entry's address.
        target: Path of the request.
        headers: Header fields; X-Work-Id is compared with the answer's.

    Returns:
        What the caller was told, and the reason of a refusal.
    """
    host, port = addresses.parse_address(entry)
    client = geventhttpclient.HTTPClient(
        host,
        port,
        connection_timeout=2.0,
        network_timeout=_NETWORK_TIMEOUT_S,
    )
    try:
        answer = client.post(target, b"body", headers)
        body = bytes(answer.read())
    except ConnectionRefusedError:
        # The entry took nothing; a balancer would try another one.
        return audit.Told.NOT_RUN, "connection-refused"
    except (OSError, http_response.HTTPParseError) as error:
        return audit.Told.LOST, repr(error)
    finally:
        client.close()
    return classify_answer(answer.status_code, body, headers["X-Work-Id"])


def classify_answer(
    status: int, body: bytes, work_id: str
) -> tuple[audit.Told, str]:
    """Tells what an HTTP answer says of a request.

    Args:
        status: Status code.
        body: The body.
        work_id: The request's work id.

    Returns:
        What the caller was told, and the reason of a refusal.
    """
    try:
        document = json.loads(body)
    except ValueError:
        return audit.Told.LOST, f"status {status} without JSON"
    if status == 200:
        if document.get("work_id") != work_id:
            return audit.Told.CROSSED, ""
        return audit.Told.ANSWERED, ""
    told = {
        "not-run": audit.Told.NOT_RUN,
        "unknown": audit.Told.UNKNOWN,
        "cancelled": audit.Told.UNKNOWN,
    }.get(document.get("outcome"), audit.Told.LOST)
    return told, str(document.get("reason", ""))


def collect_runs(backends: list[str]) -> Counter[str]:
    """Asks fake backend servers what they ran.

    Args:
        backends: Their addresses.

    Returns:
        How often each work id was run.
    """
    runs: Counter[str] = Counter()
    for address in backends:
        host, port = addresses.parse_address(address)
        client = geventhttpclient.HTTPClient(host, port)
        document: dict[str, typing.Any] = json.loads(
            bytes(client.get("/runs").read())
        )
        client.close()
        runs.update(document["runs"])
    return runs
