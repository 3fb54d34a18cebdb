"""A fake backend server on raw sockets that injects faults at chosen steps.

It serves one request at a time on each connection and calls `on_step` at each
of `STEPS`. A run is counted when a whole request has been read.
"""

from collections import Counter
import socket as plain_socket
import struct

import gevent
import gevent.event
import gevent.server
import gevent.socket

STEPS = (
    "connecting",
    "head sent",
    "half of the body sent",
    "sent",
    "first byte of the answer",
    "half an answer",
    "answered",
)
_RECEIVE_BUFFER_BYTES = 65_536
_BACKLOG = 64


class EndOfConnectionError(Exception):
    """Raised by the fake to end the connection."""


class RawConnection:
    """One accepted connection and its faults."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        # If set, the bytes that the fake sends are lost.
        self.drops_answers = False
        self.pause_s = 0.0
        self.answer = None

    def read(self):
        data = self.sock.recv(65_536)
        if not data:
            raise EndOfConnectionError()
        self.buffer += data

    def send(self, data):
        if self.drops_answers:
            return
        if not self.pause_s:
            self.sock.sendall(data)
            return
        for start in range(0, len(data), 16):
            gevent.sleep(self.pause_s)
            self.sock.sendall(data[start : start + 16])

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_LINGER, linger
        )
        raise EndOfConnectionError()

    def hang(self):
        gevent.event.Event().wait()


class RawBackend:
    """The fake server; `on_step(connection, step)` may inject any fault."""

    def __init__(self, name, on_step=None):
        self.name = name
        self.runs = Counter()
        self.heads = []
        self.on_step = on_step or (lambda connection, step: None)
        self._connections = set()
        self._fillers = []
        listener = plain_socket.socket()
        listener.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        listener.bind(("127.0.0.1", 0))
        listener.listen(_BACKLOG)
        listener.setblocking(False)
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self._listener = gevent.socket.socket(fileno=listener.detach())
        self._server = gevent.server.StreamServer(self._listener, self._serve)
        self._server.start()

    def stop_accepting(self):
        """Leaves new connections unanswered, as after a network cut.

        The queue of the listening socket is filled with connections that are
        never accepted.
        """
        self._server.stop_accepting()
        self._listener.listen(0)
        host, _, port = self.address.rpartition(":")
        for _ in range(4):
            filler = plain_socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._fillers.append(filler)
        gevent.sleep(0.01)

    def kill(self):
        """Closes the listener and every connection, as when a process dies."""
        self._server.close()
        for connection in list(self._connections):
            connection.sock.close()

    def close(self):
        self._server.stop(timeout=0)
        for filler in self._fillers:
            filler.close()

    def _serve(self, sock, _address):
        connection = RawConnection(sock)
        self._connections.add(connection)
        try:
            while True:
                self._serve_one(connection)
        except (EndOfConnectionError, OSError):
            pass
        finally:
            self._connections.discard(connection)
            sock.close()

    def _serve_one(self, connection):
        self.on_step(connection, "connecting")
        while b"\r\n\r\n" not in connection.buffer:
            connection.read()
        head, _, connection.buffer = connection.buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        fields = {name.lower(): value for name, value in fields.items()}
        self.heads.append(lines)
        self.on_step(connection, "head sent")
        length = int(fields["content-length"])
        while len(connection.buffer) < length // 2:
            connection.read()
        self.on_step(connection, "half of the body sent")
        while len(connection.buffer) < length:
            connection.read()
        connection.buffer = connection.buffer[length:]
        work_id = fields.get("x-work-id", "")
        self.runs[work_id] += 1
        self.on_step(connection, "sent")
        answer = connection.answer or build_answer(work_id, fields)
        half = answer.index(b"\r\n\r\n") + 4 + 8
        connection.send(answer[:1])
        self.on_step(connection, "first byte of the answer")
        connection.send(answer[1:half])
        self.on_step(connection, "half an answer")
        connection.send(answer[half:])
        self.on_step(connection, "answered")


def build_answer(work_id, fields, declared_more=0, excess=b""):
    """Builds the answer to a request, with a wrong length if asked for."""
    body = f"work {work_id} done by a fake".encode()
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"X-Request-Id: {fields.get('x-request-id', '')}\r\n"
        f"Content-Length: {len(body) + declared_more}\r\n\r\n"
    )
    return head.encode() + body + excess
