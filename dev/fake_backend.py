"""A fake backend server that announces itself and counts what it runs.

Runs as a separate process: `--service`, `--backend_id`, `--listen`, and the
entries' addresses to announce to. Each request's work is a pause of
`X-Work-Ms`; the answer echoes the request's id and its X-Work-Id. `/runs` gives
how often each X-Work-Id was run, for the auditor.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
from collections import Counter  # noqa: E402
import json  # noqa: E402
import signal  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import gevent  # noqa: E402
import gevent.event  # noqa: E402
import geventhttpclient  # noqa: E402

from bambookeel.net import addresses  # noqa: E402
from bambookeel.net import http_server  # noqa: E402

_SERVICE = flags.DEFINE_string("service", None, "Service.", required=True)
_BACKEND_ID = flags.DEFINE_string("backend_id", None, "Name.", required=True)
_LISTEN = flags.DEFINE_string("listen", None, "ip:port.", required=True)
_ENTRIES = flags.DEFINE_list("entries", [], "Entries' caller addresses.")
_SLOTS = flags.DEFINE_integer("slots", 8, "Requests at once.")
_CONNECTIONS = flags.DEFINE_integer("connections", 64, "Connections at once.")
_LEASE_MS = flags.DEFINE_integer("lease_ms", 2_000, "Announcement's lease.")
_PERIOD_MS = flags.DEFINE_integer("period_ms", 500, "Announcement's period.")


class FakeBackend:
    """Runs requests and counts them."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.most_running = 0
        self.state = "serving"
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        """Answers one request."""
        if environ["PATH_INFO"] == "/runs":
            body = json.dumps(
                {
                    "runs": self.runs,
                    "most_running": self.most_running,
                }
            ).encode()
            start_response("200 OK", [("Content-Length", str(len(body)))])
            return [body]
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            return self._run(environ, start_response)
        finally:
            self.running -= 1

    def _run(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> list[bytes]:
        work_id = environ.get("HTTP_X_WORK_ID", "")
        self.runs[work_id] += 1
        sent = environ["wsgi.input"].read()
        gevent.sleep(int(environ.get("HTTP_X_WORK_MS", "0")) / 1000.0)
        body = json.dumps(
            {
                "work_id": work_id,
                "backend_id": _BACKEND_ID.value,
                "body_bytes": len(sent),
            }
        ).encode()
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
            ],
        )
        return [body]

    def announce(self) -> bool:
        """Announces to the first entry that takes it.

        Returns:
            Whether an entry took it.
        """
        self._sequence += 1
        document = json.dumps(
            {
                "service": _SERVICE.value,
                "backend_id": _BACKEND_ID.value,
                "address": _LISTEN.value,
                "incarnation": self._incarnation,
                "sequence": self._sequence,
                "state": self.state,
                "slots": _SLOTS.value,
                "connections": _CONNECTIONS.value,
                "lease_ms": _LEASE_MS.value,
                "running": self.running,
            }
        ).encode()
        entries = _ENTRIES.value
        for i in range(len(entries)):
            # Another entry each time, as behind a balancer.
            entry = entries[(self._sequence + i) % len(entries)]
            if _post_announcement(entry, document):
                return True
        return False

    def announce_forever(self) -> None:
        """Announces each period."""
        while True:
            self.announce()
            gevent.sleep(_PERIOD_MS.value / 1000.0)


def _post_announcement(entry: str, document: bytes) -> bool:
    host, port = addresses.parse_address(entry)
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=0.3, network_timeout=0.3
    )
    try:
        return client.post("/announce", document).status_code == 204
    except (OSError, geventhttpclient.response.HTTPParseError):
        return False
    finally:
        client.close()


def run_backend(_arguments: list[str]) -> None:
    """Runs the fake until a signal; then it leaves gracefully."""
    fake = FakeBackend()
    server = http_server.Server(_LISTEN.value, fake)
    server.start()
    stop_wanted = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_wanted.set)
    announcing = gevent.spawn(fake.announce_forever)
    stop_wanted.wait()
    fake.state = "leaving"
    fake.announce()
    announcing.kill()
    server.stop(timeout=10)


def main() -> None:
    """Starts the fake backend server."""
    app.run(run_backend)


if __name__ == "__main__":
    main()
