"""A crowd of clients that send what no sound client sends; runs as a process.

Usage: `python -m features.fakes.client_crowd KIND PORT_KIND HOST PORT COUNT
[SOURCE]`. Each client opens a new connection as soon as its last one has ended.
"""

import socket as plain_socket
import struct
import sys

import gevent
import gevent.socket

# Just under 4 MiB, the largest body that a control port takes.
_ANNOUNCED_BYTES = 4 * 1024 * 1024 - 1
_HUGE_BYTES = 1_000_000_000
_SLOW_BYTES = 200_000
_PART = b"x" * 65_536
_PAUSE_S = 0.05
_SPREAD_S = 0.002
_TIMEOUT_S = 120.0
# Frame header of the channels between nodes: length and clock stamp.
_FRAME = struct.Struct(">IQ")
_FRAME_BYTES = 15 * 1024 * 1024

_PATHS = {
    "callers": ("POST", "/orders/00000000000000aa"),
    "control": ("POST", "/v1/instances/9000/heartbeat"),
    "configurations": ("POST", "/v1/config/put"),
    "ready": ("POST", "/v1/readyz"),
    "metrics": ("POST", "/metrics"),
}
_LARGEST_ANSWERS = {
    "callers": "/orders/00000000000000aa",
    "control": "/v1/config/get",
    "ready": "/v1/readyz",
    "metrics": "/metrics",
}


class Client:
    """One client, which repeats its behaviour on connection after connection.

    `port_kind` is a key of `_PATHS`, or `peers`.
    """

    def __init__(self, kind, port_kind, address, source):
        self._behave = getattr(self, f"_behave_{kind}")
        self._port_kind = port_kind
        self._address = address
        self._source = source
        self._socket = None

    def run(self):
        """Connects and behaves, until the process is killed."""
        while True:
            try:
                self._socket = self._connect()
                if self._port_kind == "peers":
                    self._behave_peer()
                else:
                    self._behave()
            except OSError:
                pass
            finally:
                if self._socket is not None:
                    self._socket.close()
            gevent.sleep(_PAUSE_S)

    def _connect(self):
        sock = gevent.socket.socket()
        # Small, so that an answer that is never read stays in the server.
        sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, 4_096)
        sock.settimeout(_TIMEOUT_S)
        sock.bind((self._source, 0))
        sock.connect(self._address)
        return sock

    def _send_head(self, *fields):
        method, path = _PATHS[self._port_kind]
        lines = [f"{method} {path} HTTP/1.1", "Host: jobs.example"]
        lines += ["Key: key-of-the-team", *fields]
        self._socket.sendall(("\r\n".join(lines) + "\r\n").encode())

    def _send_bytes(self, count):
        while count > 0:
            part = _PART[: min(count, len(_PART))]
            self._socket.sendall(part)
            count -= len(part)

    def _drip(self, data):
        """Sends a byte a second until the server closes the connection."""
        while True:
            self._socket.sendall(data)
            gevent.sleep(1.0)

    def _behave_announced(self):
        """Sends a whole body, and reads the answer."""
        self._send_head(f"Content-Length: {_ANNOUNCED_BYTES}", "")
        self._send_bytes(_ANNOUNCED_BYTES)
        self._socket.recv(4_096)

    def _behave_unfinished(self):
        """Sends all of a body but its last byte."""
        self._send_head(f"Content-Length: {_ANNOUNCED_BYTES}", "")
        self._send_bytes(_ANNOUNCED_BYTES - 1)
        while self._socket.recv(4_096):
            pass

    def _behave_chunked(self):
        """Sends a chunked body without end."""
        self._send_head("Transfer-Encoding: chunked", "")
        chunk = b"%x\r\n%s\r\n" % (len(_PART), _PART)
        while True:
            self._socket.sendall(chunk)

    def _behave_huge(self):
        """Announces a body of 1 GB and sends it."""
        self._send_head(f"Content-Length: {_HUGE_BYTES}", "")
        self._send_bytes(_HUGE_BYTES)

    def _behave_slow(self):
        """Sends half of a legal body at once, then a byte a second."""
        self._send_head(f"Content-Length: {_SLOW_BYTES}", "")
        self._send_bytes(_SLOW_BYTES // 2)
        self._drip(b"x")

    def _behave_heads(self):
        """Sends most of a legal head at once, then a byte a second."""
        self._send_head(*(f"X-Field-{i}: {'x' * 1_000}" for i in range(14)))
        self._drip(b"x")

    def _behave_idle(self):
        """Sends nothing."""
        while self._socket.recv(4_096):
            pass

    def _behave_unread(self):
        """Sends requests one after the other, and reads no answer."""
        path = _LARGEST_ANSWERS[self._port_kind]
        request = f"GET {path} HTTP/1.1\r\nHost: jobs.example\r\n\r\n".encode()
        while True:
            self._socket.sendall(request)
            gevent.sleep(_PAUSE_S)

    def _behave_peer(self):
        """Sends frames, or none, to the port for other nodes."""
        name = self._behave.__name__.removeprefix("_behave_")
        if name == "idle":
            self._behave_idle()
        self._socket.sendall(_FRAME.pack(_FRAME_BYTES, 0))
        if name == "slow":
            self._send_bytes(_SLOW_BYTES // 2)
            self._drip(b"x")
        self._send_bytes(_FRAME_BYTES - 1)
        while self._socket.recv(4_096):
            pass


def main():
    """Runs the crowd until it is killed."""
    kind, port_kind, host, port, count = sys.argv[1:6]
    source = sys.argv[6] if len(sys.argv) > 6 else ""
    address = (host, int(port))
    tasks = []
    for _ in range(int(count)):
        tasks.append(gevent.spawn(Client(kind, port_kind, address, source).run))
        # The server's queue of new connections would overflow otherwise, so
        # that clients connect only seconds later.
        gevent.sleep(_SPREAD_S)
    gevent.joinall(tasks, raise_error=True)


if __name__ == "__main__":
    main()
