"""A service on a real socket that sends fixed bytes to each client."""

import socket
import struct
import threading

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class RawService:
    """Sends fixed bytes on each connection, or resets it."""

    def __init__(self, answer, stays_open=False):
        # Bytes to send; None resets the connection.
        self._answer = answer
        self._stays_open = stays_open
        self._open_connections = []
        # Data that was received on each connection.
        self.received = []
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self._serve_one(connection)
            if self._stays_open:
                self._open_connections.append(connection)
                continue
            connection.close()

    def _serve_one(self, connection):
        try:
            self.received.append(connection.recv(65536))
            if self._answer is None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                return
            connection.sendall(self._answer)
        except OSError:
            return

    def close(self):
        """Closes all sockets."""
        for connection in (self._socket, *self._open_connections):
            connection.close()
