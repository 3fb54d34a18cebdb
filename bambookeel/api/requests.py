"""Parses requests to the operators' API.

The WSGI environment is checked and converted to a `Request`, or refused. Bodies
are read only up to a size limit and within a time limit, which bounds what one
client can cost.
"""

import dataclasses
import re
import secrets
import typing
import urllib.parse

import gevent
import msgspec

from bambookeel.api import answers
from bambookeel.core import ids
from bambookeel.state import commands

MAX_BODY_BYTES = 4 * 1024 * 1024
_BODY_TIMEOUT_S = 10.0
_MAX_QUERY_CHARS = 2_048
_BEARER = "bearer "
_COMMAND_ID = re.compile(r"^[A-Za-z0-9._:/-]{1,100}$")
_VERSION = re.compile(r'^(?:"(\d{1,18})"|(\d{1,18}))$')
Environ = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A parsed request whose body has not been read yet.

    Attributes:
        method: The HTTP method.
        parts: Segments of the path after `/v1/`.
        query: Parameters of the query by name; the last one of a repeated name.
        secret: The bearer token; empty if there is none.
        command_id: Id that makes a change idempotent; random if the request
            gives none.
        expected_version: The version that the resource must have for a change.
        body: Stream from which the body is read.
        length: Declared length of the body in bytes; None if not declared.
    """

    method: str
    parts: tuple[str, ...]
    query: dict[str, str]
    secret: str
    command_id: str
    expected_version: ids.StateVersion
    body: typing.Any
    length: int | None

    def has_flag(self, name: str) -> bool:
        """Checks whether a parameter of the query is set to a true value.

        Args:
            name: Name of the parameter.

        Returns:
            Whether its value is `1` or `true`.
        """
        return self.query.get(name, "") in ("1", "true")


def _read_version(environ: Environ) -> ids.StateVersion | answers.Refusal:
    """Reads the expected version from `If-Match` or `If-None-Match`.

    Args:
        environ: WSGI environment.

    Returns:
        The version, or `ANY_VERSION` without either header; a refusal if the
        header is malformed.
    """
    if "HTTP_IF_NONE_MATCH" in environ:
        if environ["HTTP_IF_NONE_MATCH"].strip() == "*":
            return commands.MUST_NOT_EXIST
        return answers.refuse_value(
            "If-None-Match", environ["HTTP_IF_NONE_MATCH"], "*"
        )
    text = environ.get("HTTP_IF_MATCH", "").strip()
    if not text:
        return commands.ANY_VERSION
    matched = _VERSION.match(text)
    if matched is None:
        return answers.refuse_value(
            "If-Match", text, "the version of a resource, such as 17"
        )
    return ids.StateVersion(int(matched.group(1) or matched.group(2)))


def _read_length(environ: Environ) -> int | None | answers.Refusal:
    text = environ.get("CONTENT_LENGTH", "")
    if not text:
        return None
    if not text.isascii() or not text.isdigit():
        return answers.refuse_value("Content-Length", text, "a number of bytes")
    return int(text)


def parse_request(environ: Environ) -> Request | answers.Refusal:
    """Parses the path, query and headers of a request.

    Args:
        environ: WSGI environment.

    Returns:
        The request, or a refusal if any of them is malformed.
    """
    parts = tuple(environ["PATH_INFO"].strip("/").split("/"))
    if parts[0] != "v1" or len(parts) < 2:
        accepted = "/v1/KIND, /v1/KIND/NAME, /v1/bundle, /v1/watch, /v1/status"
        detail = f"no such path (accepted: {accepted})"
        return answers.Refusal("404 Not Found", detail)
    text = environ.get("QUERY_STRING", "")
    if len(text) > _MAX_QUERY_CHARS:
        return answers.refuse_value(
            "query", f"{text[:20]}...", f"at most {_MAX_QUERY_CHARS} characters"
        )
    query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
    command_id = environ.get("HTTP_X_COMMAND_ID", "")
    if command_id and not _COMMAND_ID.match(command_id):
        return answers.refuse_value(
            "X-Command-Id",
            command_id[:120],
            "1 to 100 letters, digits and . _ : / -",
        )
    version = _read_version(environ)
    if isinstance(version, answers.Refusal):
        return version
    length = _read_length(environ)
    if isinstance(length, answers.Refusal):
        return length
    header = environ.get("HTTP_AUTHORIZATION", "")
    secret = ""
    if header[: len(_BEARER)].lower() == _BEARER:
        secret = header[len(_BEARER) :].strip()
    return Request(
        environ["REQUEST_METHOD"],
        parts[1:],
        query,
        secret,
        command_id or secrets.token_hex(16),
        version,
        environ["wsgi.input"],
        length,
    )


def _refuse_size() -> answers.Refusal:
    return answers.Refusal(
        "413 Content Too Large",
        f"the body is too long (accepted: at most {MAX_BODY_BYTES} bytes)",
    )


def read_document(
    request: Request,
) -> dict[str, typing.Any] | answers.Refusal:
    """Reads the body as a JSON object.

    Args:
        request: Request whose body has not been read yet.

    Returns:
        The object; a refusal if the body is too large, late, cut or malformed.
    """
    if request.length is not None and request.length > MAX_BODY_BYTES:
        return _refuse_size()
    try:
        with gevent.Timeout(_BODY_TIMEOUT_S):
            body = request.body.read(MAX_BODY_BYTES + 1)
    except gevent.Timeout:
        return answers.Refusal(
            "408 Request Timeout",
            f"the body did not arrive within {_BODY_TIMEOUT_S:.0f} s",
        )
    except OSError as error:
        return answers.Refusal("400 Bad Request", f"the body is cut: {error}")
    if len(body) > MAX_BODY_BYTES:
        return _refuse_size()
    if request.length is not None and len(body) < request.length:
        return answers.Refusal("400 Bad Request", "the body is cut")
    try:
        return msgspec.json.decode(body, type=dict[str, typing.Any])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return answers.Refusal(
            "400 Bad Request",
            f"malformed JSON: {error} (accepted: an object)",
        )
