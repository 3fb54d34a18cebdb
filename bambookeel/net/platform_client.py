"""Client of the platform's HTTP interface.

Only this module knows the format of the platform's documents. Each report has
an age, so that a delayed report is not mistaken for a recent one. Orders are
idempotent and carry a sequence number. An order that times out may have taken
effect; the next reports show whether it has.
"""

import json
import typing

import geventhttpclient
from geventhttpclient import response as http_response
import msgspec
from returns import result

from bambookeel.core import faults
from bambookeel.core import resources
from bambookeel.fleet import changes
from bambookeel.fleet import jobs
from bambookeel.fleet import records
from bambookeel.net import addresses

_TIMEOUT_S = 2.0


class _Task(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt of a task as reported by a worker."""

    task_id: str
    phase: jobs.TaskPhase
    cores_used: int = 0
    memory_used_mb: int = 0
    throttled: bool = False


class _Worker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as reported by the platform."""

    name: str
    incarnation: int
    phase: records.Phase
    healthy: bool
    pool: str = ""
    running: int = 0
    age_ms: int = 0
    data_centre: str
    rack: str
    cores: int = 64
    memory_mb: int = 262_144
    accelerators: int = 0
    sequence: int = 0
    tasks: tuple[_Task, ...] = ()


class _Workers(msgspec.Struct, frozen=True):
    """The platform's list of workers."""

    workers: tuple[_Worker, ...]


def _convert_worker(worker: _Worker, now_ms: int) -> records.Report:
    spec = resources.InstanceSpec(
        pool=worker.pool,
        data_centre=worker.data_centre,
        rack=worker.rack,
        cores=worker.cores,
        memory_mb=worker.memory_mb,
        accelerators=worker.accelerators,
    )
    tasks = tuple(
        jobs.TaskReport(
            task_id=task.task_id,
            phase=task.phase,
            cores_used=task.cores_used,
            memory_used_mb=task.memory_used_mb,
            throttled=task.throttled,
        )
        for task in worker.tasks
    )
    return records.Report(
        name=worker.name,
        incarnation=worker.incarnation,
        phase=worker.phase,
        healthy=worker.healthy,
        pool=worker.pool,
        running=worker.running,
        heard_ms=now_ms - worker.age_ms,
        spec=spec,
        sequence=worker.sequence,
        tasks=tasks,
    )


def decode_reports(
    data: bytes, now_ms: int
) -> result.Result[dict[str, records.Report], faults.Fault]:
    """Decodes the platform's list of workers.

    Args:
        data: Body of the platform's answer.
        now_ms: Time before the call in ms, from which the ages of the reports
            are subtracted.

    Returns:
        Reports by instance, or the fault in the answer.
    """
    try:
        decoded = msgspec.json.decode(data, type=_Workers)
    except (msgspec.DecodeError, RecursionError) as error:
        return result.Failure(faults.Fault("/platform/workers", str(error)))
    return result.Success(
        {
            worker.name: _convert_worker(worker, now_ms)
            for worker in decoded.workers
        }
    )


def describe_order(order: changes.Order) -> dict[str, typing.Any]:
    """Converts an order to the document that the platform expects.

    Args:
        order: The order to send.

    Returns:
        The document, ready to be encoded as JSON.
    """
    return {
        "kind": order.kind.value,
        "worker": order.instance,
        "incarnation": order.incarnation,
        "sequence": order.sequence,
        "pool": order.pool,
        "task_id": order.task_id,
        "cores": order.cores,
        "memory_mb": order.memory_mb,
    }


class PlatformClient:
    """A client of the platform's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        host, port = addresses.parse_address(address)
        self._client = geventhttpclient.HTTPClient(
            host,
            port,
            connection_timeout=_TIMEOUT_S,
            network_timeout=_TIMEOUT_S,
        )

    def _call(
        self, method: str, path: str, document: typing.Any = None
    ) -> result.Result[bytes, faults.Fault]:
        body = b"" if document is None else json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        try:
            answer = self._client.request(method, path, body, headers)
            data = bytes(answer.read())
        except (OSError, http_response.HTTPParseError) as error:
            self._client.close()
            return result.Failure(
                faults.Fault(f"{self._address}{path}", str(error))
            )
        if answer.status_code != 200:
            message = f"the platform answered {answer.status_code}"
            return result.Failure(
                faults.Fault(f"{self._address}{path}", message)
            )
        return result.Success(data)

    def fetch_reports(
        self, now_ms: int
    ) -> result.Result[dict[str, records.Report], faults.Fault]:
        """Fetches the latest report of every worker.

        Args:
            now_ms: Time before the call in ms, from which the ages of the
                reports are subtracted.

        Returns:
            Reports by instance, or the fault.
        """
        match self._call("GET", "/platform/workers"):
            case result.Success(data):
                return decode_reports(data, now_ms)
            case result.Failure(fault):
                return result.Failure(fault)
        raise AssertionError("a result is either a Success or a Failure")

    def send_orders(
        self, orders: tuple[changes.Order, ...]
    ) -> result.Result[bytes, faults.Fault]:
        """Sends orders; orders that were sent before have no effect.

        Args:
            orders: The orders to send.

        Returns:
            The platform's answer, or the fault. Also after a fault the orders
            may have taken effect.
        """
        documents = [describe_order(order) for order in orders]
        return self._call("POST", "/platform/orders", {"orders": documents})

    def renew_leases(
        self, names: list[str], lease_ms: int
    ) -> result.Result[bytes, faults.Fault]:
        """Renews the leases under which workers run tasks.

        Args:
            names: Names of the workers.
            lease_ms: Duration of the leases, counted from when the worker
                learns of the renewal.

        Returns:
            The platform's answer, or the fault. Also after a fault the leases
            may have been renewed.
        """
        document = {"workers": names, "lease_ms": lease_ms}
        return self._call("POST", "/platform/leases", document)
