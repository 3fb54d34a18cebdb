"""A fake platform as a process: workers that drain, reboot and fail.

`--pools=orders:6,labels:6` gives the pools and their numbers of workers, which
are spread over three data centres, four to a rack. Besides the platform's own
HTTP interface, calls to `/fake/fail/NAME` and `/fake/repair/NAME` make a worker
fail and repair it.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
import json  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402

from bambookeel.net import http_server  # noqa: E402
from features.fakes import fleet_platform  # noqa: E402

_LISTEN = flags.DEFINE_string(
    "listen", None, "Address, as ip:port.", required=True
)
_POOLS = flags.DEFINE_list(
    "pools", ["orders:6", "labels:6"], "Pools as NAME:SIZE."
)
_DATA_CENTRES = flags.DEFINE_list(
    "data_centres", ["tamworth", "hinckley", "lichfield"], "Data centres."
)
_DRAIN_MS = flags.DEFINE_integer("drain_ms", 1_000, "Time to drain.")
_BOOT_MS = flags.DEFINE_integer("boot_ms", 2_000, "Time to reboot.")
_WORKERS_PER_RACK = 4
_STEP_S = 0.1


def build_platform() -> fleet_platform.FakePlatform:
    """Builds a platform with the workers that the flags describe.

    Returns:
        The platform with its workers placed in data centres and racks.
    """
    platform = fleet_platform.FakePlatform(_DRAIN_MS.value, _BOOT_MS.value)
    worker_number = 0
    for pool_spec in _POOLS.value:
        pool, _, size = pool_spec.partition(":")
        for i in range(int(size)):
            data_centres = _DATA_CENTRES.value
            data_centre = data_centres[worker_number % len(data_centres)]
            rack_number = (
                worker_number // len(data_centres) // _WORKERS_PER_RACK
            )
            rack = f"{data_centre}-rack-{rack_number}"
            platform.add_worker(f"{pool}-worker-{i}", data_centre, rack, pool)
            worker_number += 1
    return platform


class PlatformApp:
    """The platform's HTTP interface."""

    def __init__(self, platform: fleet_platform.FakePlatform) -> None:
        self._platform = platform

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Handles one HTTP request with a JSON body."""
        document = {}
        body = environ["wsgi.input"].read()
        if body:
            document = json.loads(body)
        answer = self._handle(environ["PATH_INFO"], document)
        data = json.dumps(answer).encode()
        start_response("200 OK", [("Content-Length", str(len(data)))])
        return [data]

    def _handle(
        self, path: str, document: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        platform = self._platform
        platform.step(time.monotonic_ns() // 1_000_000)
        match path.strip("/").split("/"):
            case ["platform", "workers"]:
                return {"workers": platform.report()}
            case ["platform", "orders"]:
                for order in document["orders"]:
                    platform.apply_order(order)
            case ["platform", "leases"]:
                platform.renew_leases(document["workers"], document["lease_ms"])
            case ["fake", "fail", name]:
                platform.fail(name)
            case ["fake", "repair", name]:
                platform.repair(name)
        return {"broken": platform.violations}

    def step_forever(self) -> None:
        """Advances the simulated workers periodically."""
        while True:
            self._platform.step(time.monotonic_ns() // 1_000_000)
            gevent.sleep(_STEP_S)


def run_platform(_arguments: list[str]) -> None:
    """Runs the platform until SIGTERM or SIGINT."""
    platform_app = PlatformApp(build_platform())
    server = http_server.Server(_LISTEN.value, platform_app)
    server.start()
    stop_wanted = gevent.event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_wanted.set)
    stepper = gevent.spawn(platform_app.step_forever)
    stop_wanted.wait()
    stepper.kill()
    server.stop(timeout=1)


def main() -> None:
    """Parses the flags and runs the fake platform."""
    app.run(run_platform)


if __name__ == "__main__":
    main()
