"""A pass-through proxy, the baseline for the benchmark of the request path.

Receives requests with pywsgi and forwards them with geventhttpclient's pooled
client, without any checks. Runs as a separate process.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
import sys  # noqa: E402

import geventhttpclient  # noqa: E402

from bambookeel.net import addresses  # noqa: E402
from bambookeel.net import http_server  # noqa: E402

_CONNECTIONS = 64
_DROPPED_FIELDS = ("transfer-encoding", "connection", "content-length")


def main() -> None:
    """Forwards requests from `listen` to `target`, both `ip:port`."""
    listen, target = sys.argv[1:]
    host, port = addresses.parse_address(target)
    client = geventhttpclient.HTTPClient(host, port, concurrency=_CONNECTIONS)

    def forward(environ, start_response):
        body = environ["wsgi.input"].read()
        headers = {
            "X-Work-Id": environ.get("HTTP_X_WORK_ID", ""),
            "X-Request-Id": environ.get("HTTP_X_REQUEST_ID", ""),
        }
        answer = client.request(
            environ["REQUEST_METHOD"], environ["PATH_INFO"], body, headers
        )
        data = bytes(answer.read())
        fields = [
            f for f in answer.items() if f[0].lower() not in _DROPPED_FIELDS
        ]
        fields.append(("Content-Length", str(len(data))))
        start_response(f"{answer.status_code} OK", fields)
        return [data]

    http_server.Server(listen, forward).serve_forever()


if __name__ == "__main__":
    main()
