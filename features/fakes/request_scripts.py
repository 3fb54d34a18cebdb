"""Behaviour of callers and backend servers that several steps use."""

import codecs

from features.fakes import raw_backend

WORK = ["X-Work-Id: w"]


def unescape(text):
    """Converts a feature's text with backslash escapes to bytes."""
    return codecs.decode(text, "unicode_escape").encode("latin-1")


def get_request_id(backend):
    """Returns the X-Request-Id of the latest request to a backend server."""
    for line in backend.heads[-1]:
        if line.lower().startswith("x-request-id: "):
            return line.partition(": ")[2].encode()
    raise AssertionError(backend.heads[-1])


def answer_with(backend, data):
    """Makes the backend server answer with these bytes and close."""

    def on_step(connection, step):
        if step != "sent":
            return
        connection.send(data.replace(b"ID", get_request_id(backend)))
        raise raw_backend.EndOfConnectionError()

    backend.on_step = on_step


def send_and_keep_open(entry):
    """Sends a request and returns its connection without reading."""
    sock = entry.connect()
    sock.sendall(
        b"POST /services/orders/work HTTP/1.1\r\nHost: entry\r\nX-Work-Id: w"
        b"\r\nContent-Length: 0\r\nAuthorization: Bearer "
        + entry.secret.encode()
        + b"\r\n\r\n"
    )
    return sock
