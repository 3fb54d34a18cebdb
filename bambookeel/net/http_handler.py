"""One connection of the HTTP server, over gevent's WSGI handler.

Bounds the size of a head and the time in which it must arrive, answers bad
heads with problem+json, ends a connection whose body was refused without
reading it all, and closes kept-alive connections after their current request
once the server drains.
"""

import http.client
import socket as plain_socket
import time
import traceback
import typing

import gevent
import gevent.pywsgi

from bambookeel.core import outcomes
from bambookeel.net import headers
from bambookeel.net import problem
from bambookeel.net import request_heads
from bambookeel.runtime import logs

# How long and how much is read from a caller whose request was refused, so
# that it can take in the refusal before the connection is reset.
_LINGER_S = 1.0
_MAX_LINGER_BYTES = 256 * 1024
_LINGER_PART_BYTES = 16_384
# A head and body up to this size are written together.
_JOIN_BYTES = 65_536


class Handler(gevent.pywsgi.WSGIHandler):
    """Handles one connection."""

    _head_ends_at_s = 0.0
    _refusal: outcomes.NotRun | None = None
    _fields: headers.Fields = ()
    _lingers = False

    def read_requestline(self) -> typing.Any:
        """Reads the request line within the head's time.

        Returns:
            The request line, or empty when the connection ends.
        """
        if not self._wait_for_first_byte():
            return ""
        self._head_ends_at_s = time.monotonic() + self.server.head_timeout_s
        with gevent.Timeout(self.server.head_timeout_s, False):
            return super().read_requestline()
        self._refuse_slow_head()
        return ""

    def _wait_for_first_byte(self) -> bool:
        """Waits for a request on an idle connection.

        Returns:
            Whether one has begun.
        """
        idle = self.server.idle_handlers
        idle.add(self)
        try:
            return bool(self.rfile.peek(1))
        finally:
            idle.discard(self)

    def _refuse_slow_head(self) -> None:
        refusal = outcomes.NotRun(
            outcomes.Reason.CALLER_TOO_SLOW,
            f"the head did not arrive within {self.server.head_timeout_s} s",
        )
        self._send_refusal(refusal)

    def MessageClass(self, *args: typing.Any) -> typing.Any:  # noqa: N802
        """Parses and checks the header fields, before pywsgi changes them.

        Args:
            *args: The stream, as pywsgi passes it.

        Returns:
            The parsed fields.

        Raises:
            HeadError: If the head is refused.
        """
        reader = request_heads.HeadReader(args[0], self.server.max_header_bytes)
        parsed = gevent.pywsgi.headers_factory(reader)
        fields = tuple((n, v.strip()) for n, v in parsed.items())
        request_heads.check_names(fields)
        fault = headers.find_fault(fields)
        if parsed.defects or parsed.get_payload():
            fault = "a line of the head is no header field"
        if fault:
            raise request_heads.HeadError(
                outcomes.Reason.REQUEST_MALFORMED, fault
            )
        self._fields = fields
        return parsed

    def read_request(self, raw_requestline: str) -> typing.Any:
        """Reads and checks the header fields within the head's time.

        Args:
            raw_requestline: The request line.

        Returns:
            True.

        Raises:
            HeadError: If the head is refused.
        """
        left_s = max(0.001, self._head_ends_at_s - time.monotonic())
        late = request_heads.HeadError(
            outcomes.Reason.CALLER_TOO_SLOW,
            f"the head did not arrive within {self.server.head_timeout_s} s",
        )
        words = raw_requestline.split()
        if len(words) != 3:
            raise request_heads.HeadError(
                outcomes.Reason.REQUEST_MALFORMED,
                "the request line is not of the form METHOD TARGET VERSION",
            )
        request_heads.check_request_line(*words)
        with gevent.Timeout(left_s, late):
            super().read_request(raw_requestline)
        return True

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Notes why a head is refused.

        Args:
            ex: What the parser or the checks raised.

        Returns:
            What pywsgi takes for a refusal; `handle_one_request` replaces it.
        """
        match ex:
            case request_heads.HeadError():
                self._refusal = ex.refusal
            case http.client.HTTPException():
                self._refusal = outcomes.NotRun(
                    outcomes.Reason.HEAD_TOO_LARGE, str(ex)
                )
            case _:
                self._refusal = outcomes.NotRun(
                    outcomes.Reason.REQUEST_MALFORMED,
                    f"the request is malformed: {ex}",
                )
        return ("400", b"")

    def handle_one_request(self) -> typing.Any:
        """Handles one request.

        Returns:
            True when the connection may carry another one, else None.
        """
        self._refusal = None
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
        refusal = self._refusal or outcomes.NotRun(
            outcomes.Reason.HEAD_TOO_LARGE, "the request line is too long"
        )
        self._send_refusal(refusal)
        return None

    def _send_refusal(self, refusal: outcomes.NotRun) -> None:
        """Answers a head that never reached the application.

        Args:
            refusal: The reason.
        """
        response = problem.build_problem(refusal, "")
        lines = [f"HTTP/1.1 {response.status}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in response.headers]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        try:
            self.socket.sendall(head + response.body)
        except OSError:
            return
        self._linger()

    def handle_one_response(self) -> None:
        """Answers one request, and lingers when its body was refused."""
        self._lingers = False
        super().handle_one_response()
        if self._lingers:
            self._linger()

    def handle_error(
        self, t: typing.Any, v: typing.Any, tb: typing.Any
    ) -> None:
        """Logs a failure of the application and tells the caller the truth.

        Args:
            t: The exception's class.
            v: The exception.
            tb: Where it came from.
        """
        if issubclass(t, gevent.GreenletExit):
            self.close_connection = True
            return
        lines = traceback.format_exception(t, v, tb, limit=-8)
        logs.log_event("request_failed", error=repr(v), trace="".join(lines))
        self.close_connection = True
        if self.headers_sent:
            return
        failed = outcomes.Unknown(
            outcomes.Reason.INTERNAL_FAULT, "this process failed the request"
        )
        response = problem.build_problem(failed, "")
        try:
            self.start_response(response.status, response.headers)
            self.write(response.body)
        except OSError:
            pass

    def close_unread(self) -> None:
        """Ends the connection after this answer if the body was not read."""
        stream = self.wsgi_input
        is_open = stream.chunked_input and stream.chunk_length != 0
        broken = stream._chunked_input_error  # pylint: disable=protected-access
        unread = (stream.content_length or 0) > stream.position
        if not (is_open or broken or unread):
            return
        stream.content_length = stream.position
        stream.chunked_input = False
        self.close_connection = True
        self._lingers = True

    def _linger(self) -> None:
        """Reads a little more, so that the caller sees the refusal."""
        try:
            self.socket.shutdown(plain_socket.SHUT_WR)
            left_bytes = _MAX_LINGER_BYTES
            with gevent.Timeout(_LINGER_S, False):
                while left_bytes > 0:
                    data = self.socket.recv(_LINGER_PART_BYTES)
                    if not data:
                        return
                    left_bytes -= len(data)
        except OSError:
            return

    def finalize_headers(self) -> None:
        """Adds `Connection: close` where the connection ends."""
        if self.server.is_draining:
            self.close_connection = True
        super().finalize_headers()
        if not self.close_connection or self.request_version != "HTTP/1.1":
            return
        if all(name != b"Connection" for name, _ in self.response_headers):
            self.response_headers.append((b"Connection", b"close"))

    def _write_with_headers(self, data: bytes) -> None:
        """Writes the head, together with a body that is not large.

        Args:
            data: The first part of the body.
        """
        if len(data) > _JOIN_BYTES:
            super()._write_with_headers(data)
            return
        self.headers_sent = True
        self.finalize_headers()
        parts = [b"HTTP/1.1 ", self.status, b"\r\n"]
        for name, value in self.response_headers:
            parts += (name, b": ", value, b"\r\n")
        parts.append(b"\r\n")
        if data and self.response_use_chunked:
            parts += (b"%x\r\n" % len(data), data, b"\r\n")
        else:
            parts.append(data)
        self._sendall(b"".join(parts))

    def log_request(self) -> None:
        """Logs nothing; requests are logged as events."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Builds the WSGI environment with what WSGI leaves out.

        Returns:
            The environment; `bambookeel.target` is the undecoded target,
            `bambookeel.fields` the header fields in order with duplicates,
            `bambookeel.socket` the caller's connection and
            `bambookeel.close_unread` ends it when a body stays unread.
        """
        environ = super().get_environ()
        environ["bambookeel.target"] = self.path
        environ["bambookeel.fields"] = self._fields
        environ["bambookeel.socket"] = self.socket
        environ["bambookeel.close_unread"] = self.close_unread
        return environ


def end_unread_body(environ: dict[str, typing.Any]) -> None:
    """Ends the connection after this answer if its request was not read.

    Args:
        environ: WSGI environment.
    """
    close_unread = environ.get("bambookeel.close_unread")
    if close_unread is not None:
        close_unread()
