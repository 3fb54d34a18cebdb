"""Requests to the nodes of a simulated site of the users' platform."""

import json

import geventhttpclient
from geventhttpclient import response as http_response


def request(address, method, path, body=None, headers=None, timeout_s=5.0):
    """Sends a request; returns status, headers and body, or None on failure."""
    host, port = address
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=timeout_s, network_timeout=timeout_s
    )
    data = body if isinstance(body, bytes) else b""
    if body is not None and not isinstance(body, bytes):
        data = json.dumps(body).encode()
    try:
        answer = client.request(method, path, data, headers or {})
        return answer.status_code, dict(answer.headers), bytes(answer.read())
    except (OSError, http_response.HTTPParseError):
        return None
    finally:
        client.close()
