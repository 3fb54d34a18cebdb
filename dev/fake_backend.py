"""A fake backend server that announces itself and records what it runs.

Runs as a separate process and announces itself to the `--entries`. Each
request's work is a pause of `X-Work-Ms` milliseconds; the answer echoes the
request's id and its X-Work-Id. Every start and end of work is written to
`--runs_file` at once, so that the record survives a kill. On SIGUSR1 the server
announces that it is leaving; on SIGTERM it announces so and ends.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
import json  # noqa: E402
import signal  # noqa: E402
import typing  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402
import geventhttpclient  # noqa: E402

from bambookeel.net import addresses  # noqa: E402
from bambookeel.net import http_server  # noqa: E402
from bambookeel.runtime import clock  # noqa: E402

_SERVICE = flags.DEFINE_string(
    "service", None, "Name of the service.", required=True
)
_BACKEND_ID = flags.DEFINE_string(
    "backend_id", None, "Name of the backend server.", required=True
)
_LISTEN = flags.DEFINE_string(
    "listen", None, "Address, as ip:port.", required=True
)
_ADVERTISE = flags.DEFINE_string(
    "advertise", "", "Address to announce, if not that of --listen."
)
_ENTRIES = flags.DEFINE_list("entries", [], "Addresses of the entries.")
_RUNS_FILE = flags.DEFINE_string("runs_file", "", "File for the runs.")
_SLOTS = flags.DEFINE_integer("slots", 8, "Concurrent requests.")
_CONNECTIONS = flags.DEFINE_integer("connections", 64, "Most connections.")
_LEASE_MS = flags.DEFINE_integer("lease_ms", 2_000, "Lease to announce.")
_PERIOD_MS = flags.DEFINE_integer(
    "period_ms", 500, "Time between announcements."
)
_STOP_TIMEOUT_S = 10


class FakeBackend:
    """Serves requests as a WSGI application and records their runs."""

    def __init__(self, runs_file: typing.TextIO | None) -> None:
        self.running = 0
        self.state = "serving"
        self._runs_file = runs_file
        self._incarnation = clock.read_wall_ms()
        self._sequence = 0

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Handles one request: waits for its work time and echoes its ids."""
        work_id = environ.get("HTTP_X_WORK_ID", "")
        self.running += 1
        self._record(
            "start",
            work_id,
            environ.get("HTTP_X_WORK_TEAM", ""),
            environ.get("HTTP_X_TEAM", ""),
        )
        try:
            request_body = environ["wsgi.input"].read()
            gevent.sleep(int(environ.get("HTTP_X_WORK_MS", "0")) / 1000.0)
        finally:
            self.running -= 1
            self._record("end", work_id)
        document = {
            "work_id": work_id,
            "backend_id": _BACKEND_ID.value,
            "body_bytes": len(request_body),
        }
        body = json.dumps(document).encode()
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
            ],
        )
        return [body]

    def _record(self, event: str, work_id: str, *details: str) -> None:
        if self._runs_file is None:
            return
        columns = [event, str(clock.read_wall_ms()), work_id, *details]
        self._runs_file.write("\t".join(columns) + "\n")
        self._runs_file.flush()

    def leave(self) -> None:
        """Announces that the server is leaving and accepts no new work."""
        self.state = "leaving"
        self.announce()

    def announce(self) -> bool:
        """Sends the announcement to the entries until one accepts it.

        Returns:
            Whether an entry accepted it.
        """
        self._sequence += 1
        document = {
            "service": _SERVICE.value,
            "backend_id": _BACKEND_ID.value,
            "address": _ADVERTISE.value or _LISTEN.value,
            "incarnation": self._incarnation,
            "sequence": self._sequence,
            "state": self.state,
            "slots": _SLOTS.value,
            "connections": _CONNECTIONS.value,
            "lease_ms": _LEASE_MS.value,
            "running": self.running,
        }
        body = json.dumps(document).encode()
        entries = _ENTRIES.value
        for i in range(len(entries)):
            # Starts with another entry each time, as behind a load balancer.
            entry = entries[(self._sequence + i) % len(entries)]
            if _post_announcement(entry, body):
                return True
        return False

    def announce_forever(self) -> None:
        """Sends the announcement once per period."""
        while True:
            self.announce()
            gevent.sleep(_PERIOD_MS.value / 1000.0)


def _post_announcement(entry: str, body: bytes) -> bool:
    host, port = addresses.parse_address(entry)
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=0.3, network_timeout=0.3
    )
    try:
        return client.post("/announce", body).status_code == 204
    except (OSError, geventhttpclient.response.HTTPParseError):
        return False
    finally:
        client.close()


def run_backend(_arguments: list[str]) -> None:
    """Runs the server until SIGTERM or SIGINT, then stops it gracefully."""
    runs_file = None
    if _RUNS_FILE.value:
        # pylint: disable-next=consider-using-with
        runs_file = open(_RUNS_FILE.value, "a", encoding="utf-8")
    backend = FakeBackend(runs_file)
    server = http_server.Server(_LISTEN.value, backend)
    server.start()
    stop_wanted = gevent.event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_wanted.set)
    gevent.signal_handler(signal.SIGUSR1, backend.leave)
    announcer = gevent.spawn(backend.announce_forever)
    stop_wanted.wait()
    backend.leave()
    announcer.kill()
    server.stop(timeout=_STOP_TIMEOUT_S)


def main() -> None:
    """Parses the flags and runs the fake backend server."""
    app.run(run_backend)


if __name__ == "__main__":
    main()
