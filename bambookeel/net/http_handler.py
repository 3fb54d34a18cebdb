"""Handles one connection of the HTTP server, based on gevent's WSGI handler.

The handler limits the size of a head and the time in which it must arrive, and
answers invalid heads with problem+json. After refusing a body that was not read
completely it closes the connection. While the server is draining, it closes
kept-alive connections after their current request.
"""

import http.client
import socket as plain_socket
import time
import traceback
import typing

import gevent
import gevent.pywsgi

from bambookeel.core import outcomes
from bambookeel.net import body_rest
from bambookeel.net import client_guard
from bambookeel.net import headers
from bambookeel.net import problem
from bambookeel.net import request_heads
from bambookeel.runtime import client_metrics
from bambookeel.runtime import logs

# Limits of a lingering close: for how long and how much is read from a caller
# whose request was refused, so that the caller can read the refusal before the
# connection is reset.
_LINGER_S = 1.0
_MAX_LINGER_BYTES = 256 * 1024
_LINGER_PART_BYTES = 16_384
# Bodies up to this size are written in one call with the head.
_MAX_JOINED_BYTES = 65_536


class Handler(gevent.pywsgi.WSGIHandler):
    """Handles the requests of one connection one after the other."""

    _head_deadline_s = 0.0
    _refusal: outcomes.NotRun | None = None
    _fields: headers.Fields = ()
    _lingers = False
    # Set by servers that bound what their clients can use.
    client: client_guard.Client | None = None

    def read_requestline(self) -> typing.Any:
        """Reads the request line within the time limit of the head.

        Returns:
            The request line, or empty if the connection must be closed.
        """
        received = self._wait_for_first_byte()
        if not received:
            return ""
        self.server.apply_limits()
        if self.client is not None:
            self.client.begin_request(received, self.server.max_header_bytes)
        self._head_deadline_s = time.monotonic() + self.server.head_timeout_s
        with gevent.Timeout(self.server.head_timeout_s, False):
            return super().read_requestline()
        self._refuse_slow_head()
        return ""

    def _wait_for_first_byte(self) -> bytes:
        """Waits for a request on an idle connection.

        Returns:
            The bytes of the request that have arrived; empty if the caller has
            closed the connection.
        """
        idle = self.server.idle_handlers
        idle.add(self)
        try:
            received: bytes = self.rfile.peek(1)
            return received
        finally:
            idle.discard(self)

    def _refuse_slow_head(self) -> None:
        refusal = outcomes.NotRun(
            outcomes.Reason.CALLER_TOO_SLOW,
            f"the head did not arrive within {self.server.head_timeout_s} s",
        )
        self._send_refusal(refusal)

    def MessageClass(self, *args: typing.Any) -> typing.Any:  # noqa: N802
        """Parses and checks the header fields before pywsgi changes them.

        Args:
            *args: The stream to read, as passed by pywsgi.

        Returns:
            The parsed fields.

        Raises:
            HeadError: If the head is refused.
        """
        reader = request_heads.HeadReader(args[0], self.server.max_header_bytes)
        parsed = gevent.pywsgi.headers_factory(reader)
        fields = tuple((n, v.strip()) for n, v in parsed.items())
        request_heads.check_field_names(fields)
        fault = headers.find_framing_fault(fields)
        if parsed.defects or parsed.get_payload():
            fault = "a line of the head is no header field"
        if fault:
            raise request_heads.HeadError(
                outcomes.Reason.REQUEST_MALFORMED, fault
            )
        self._fields = fields
        return parsed

    def read_request(self, raw_requestline: str) -> typing.Any:
        """Reads and checks the header fields within the time limit of the head.

        Args:
            raw_requestline: The request line as received.

        Returns:
            True, by which pywsgi knows that the head is valid.

        Raises:
            HeadError: If the head is refused.
        """
        remaining_s = max(0.001, self._head_deadline_s - time.monotonic())
        too_slow = request_heads.HeadError(
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
        with gevent.Timeout(remaining_s, too_slow):
            super().read_request(raw_requestline)
        return True

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Stores the reason why a head is refused.

        Args:
            ex: Exception raised by the parser or by the checks.

        Returns:
            A placeholder that makes pywsgi refuse the request;
            `handle_one_request` sends the stored refusal instead.
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
            True if the connection may be used for another request, else None.
        """
        self._refusal = None
        try:
            result = super().handle_one_request()
        finally:
            if self.client is not None:
                self.client.end_request()
        if not isinstance(result, tuple):
            return result
        refusal = self._refusal or outcomes.NotRun(
            outcomes.Reason.HEAD_TOO_LARGE, "the request line is too long"
        )
        self._send_refusal(refusal)
        return None

    def _send_refusal(self, refusal: outcomes.NotRun) -> None:
        """Refuses a request whose head was not passed to the application.

        Args:
            refusal: Outcome that is sent to the caller.
        """
        if self.client is not None:
            client_metrics.count_refused(refusal.reason.name.lower())
            self.client.begin(client_guard.Phase.ANSWERING)
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
        """Answers one request; lingers if its body was not read completely."""
        self._lingers = False
        if self.client is not None:
            self.client.end_head()
        super().handle_one_response()
        if self._lingers:
            self._linger()

    def handle_error(
        self, t: typing.Any, v: typing.Any, tb: typing.Any
    ) -> None:
        """Logs an exception of the application and answers `unknown` with 500.

        If the head of an answer has already been sent, the connection is only
        closed.

        Args:
            t: Class of the exception.
            v: The exception.
            tb: Traceback of the exception.
        """
        is_cut_off = self.client is not None and self.client.is_closed
        if is_cut_off or issubclass(t, gevent.GreenletExit):
            self.close_connection = True
            return
        lines = traceback.format_exception(t, v, tb, limit=-8)
        logs.log_event("request_failed", error=repr(v), trace="".join(lines))
        self.close_connection = True
        if self.headers_sent:
            return
        outcome = outcomes.Unknown(
            outcomes.Reason.INTERNAL_FAULT, "this process failed the request"
        )
        response = problem.build_problem(outcome, "")
        try:
            self.start_response(response.status, response.headers)
            self.write(response.body)
        except OSError:
            pass

    def run_application(self) -> None:
        """Answers the request, and reads a short rest of its body."""
        try:
            super().run_application()
        finally:
            stream = self.wsgi_input
            is_short = (stream.content_length or 0) <= stream.position
            if self.client is not None and (
                stream.chunked_input or not is_short
            ):
                if not body_rest.discard(stream, self.client):
                    self.close_unread()

    def _sendall(self, data: bytes) -> None:
        """Sends a part of the answer, and counts it until it has been taken.

        Args:
            data: The part.
        """
        if self.client is None:
            super()._sendall(data)
            return
        self.client.mark_answering()
        if len(data) <= client_guard.UNCOUNTED_ANSWER_BYTES:
            super()._sendall(data)
            return
        answers = self.client.port.guard.answers
        answers.begin(self.client, len(data))
        try:
            for start in range(0, len(data), _MAX_JOINED_BYTES):
                super()._sendall(data[start : start + _MAX_JOINED_BYTES])
                self.client.note_progress()
        finally:
            answers.end(self.client)

    def close_unread(self) -> None:
        """Closes the connection after this answer if the body is unread."""
        stream = self.wsgi_input
        is_incomplete = stream.chunked_input and stream.chunk_length != 0
        is_broken = stream._chunked_input_error  # pylint: disable=protected-access
        is_unread = (stream.content_length or 0) > stream.position
        if not (is_incomplete or is_broken or is_unread):
            return
        stream.content_length = stream.position
        stream.chunked_input = False
        self.close_connection = True
        self._lingers = True

    def _linger(self) -> None:
        """Half-closes the connection and reads on until the caller closes it.

        The limits are explained at `_LINGER_S`.
        """
        try:
            self.socket.shutdown(plain_socket.SHUT_WR)
            remaining_bytes = _MAX_LINGER_BYTES
            with gevent.Timeout(_LINGER_S, False):
                while remaining_bytes > 0:
                    data = self.socket.recv(_LINGER_PART_BYTES)
                    if not data:
                        return
                    remaining_bytes -= len(data)
        except OSError:
            return

    def finalize_headers(self) -> None:
        """Adds `Connection: close` if the connection ends with this answer."""
        if self.server.is_draining:
            self.close_connection = True
        super().finalize_headers()
        if not self.close_connection or self.request_version != "HTTP/1.1":
            return
        if all(name != b"Connection" for name, _ in self.response_headers):
            self.response_headers.append((b"Connection", b"close"))

    def _write_with_headers(self, data: bytes) -> None:
        """Writes the head, in one call with the first part unless it is large.

        Args:
            data: First part of the body.
        """
        if len(data) > _MAX_JOINED_BYTES:
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
        """Does nothing, since requests are logged as events."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Builds the WSGI environment and adds what WSGI does not provide.

        Returns:
            The environment. `bambookeel.target` is the undecoded target,
            `bambookeel.fields` the header fields in order with duplicates,
            `bambookeel.socket` the caller's connection,
            `bambookeel.close_unread` a function that closes the connection
            after this answer if the body is unread, and `bambookeel.client`
            the `Client` if the server bounds its clients.
        """
        environ = super().get_environ()
        environ["bambookeel.target"] = self.path
        environ["bambookeel.fields"] = self._fields
        environ["bambookeel.socket"] = self.socket
        environ["bambookeel.close_unread"] = self.close_unread
        if self.client is not None:
            environ["bambookeel.client"] = self.client
        return environ


def end_unread_body(environ: dict[str, typing.Any]) -> None:
    """Closes the connection after this answer if the body is unread.

    Args:
        environ: WSGI environment of the request.
    """
    close_unread = environ.get("bambookeel.close_unread")
    if close_unread is not None:
        close_unread()
