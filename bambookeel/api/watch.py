"""Watches: changes after a version, as lines of JSON while they happen.

Each line has a version and the resources that changed in it. A watch resumes
without a gap from the version of its last line; when the changes since are no
longer kept it is told to list first.
"""

from collections.abc import Callable
from collections.abc import Iterator
import typing

import gevent
import gevent.event
import msgspec

from bambookeel.api import answers
from bambookeel.api import documents
from bambookeel.api import requests
from bambookeel.control import events
from bambookeel.control import stream_task
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.net import problem
from bambookeel.runtime import mailbox
from bambookeel.state import model

MAX_WATCHES = 200
_REPLY_TIMEOUT_S = 5.0
# A line without changes is sent after so long, as proof of life.
_KEEP_ALIVE_S = 5.0
_POLL_INTERVAL_S = 0.25
_MAX_QUEUED_CHANGES = 20_000


class Watches:
    """The watches of one control process."""

    def __init__(self, streams: stream_task.StreamTask) -> None:
        self._streams = streams
        self._open_count = 0
        self._stopping = False

    def stop(self) -> None:
        """Ends all watches soon."""
        self._stopping = True

    def start(
        self, request: requests.Request
    ) -> Iterator[bytes] | answers.Refusal:
        """Starts a watch.

        Args:
            request: The request, with `from` and perhaps `kind`.

        Returns:
            The lines, or a refusal.
        """
        text = request.query.get("from", "")
        if not (text.isascii() and text.isdigit() and len(text) < 19):
            return answers.refuse_value(
                "from", text, "the version of a list or of an earlier line"
            )
        kind = request.query.get("kind", "")
        known = [item.value for item in resources.Kind]
        if kind and kind not in known:
            return answers.refuse_value("kind", kind, ", ".join(known))
        if self._open_count >= MAX_WATCHES:
            detail = f"{MAX_WATCHES} watches are open on this process"
            return answers.Refusal("503 Service Unavailable", detail)
        watcher = mailbox.Mailbox("watch", _MAX_QUEUED_CHANGES)
        version = ids.StateVersion(int(text))
        reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
        self._streams.mailbox.put(events.Watch(version, watcher, reply))
        try:
            has_started = reply.get(timeout=_REPLY_TIMEOUT_S)
        except gevent.Timeout:
            self._streams.mailbox.put(events.Unwatch(watcher))
            return answers.Refusal("503 Service Unavailable", "no answer")
        if not has_started:
            detail = (
                f"changes since version {version} are no longer kept; list"
                " first and watch from the version of the list"
            )
            return answers.Refusal("410 Gone", detail)
        return self._render_lines(watcher, version, kind)

    def _render_lines(
        self, watcher: mailbox.Mailbox, version: ids.StateVersion, kind: str
    ) -> Iterator[bytes]:
        """Renders the lines of one watch until its end.

        Args:
            watcher: Gets the changes.
            version: The version that the operator has.
            kind: The only kind to show; empty for all.

        Yields:
            Lines.
        """
        self._open_count += 1
        try:
            yield _render_line(version, [])
            idle_s = 0.0
            while not self._stopping:
                change = watcher.get_with_timeout(_POLL_INTERVAL_S)
                if change is None:
                    if not self._streams.is_watching(watcher):
                        return
                    idle_s += _POLL_INTERVAL_S
                    if idle_s >= _KEEP_ALIVE_S:
                        idle_s = 0.0
                        yield _render_line(version, [])
                    continue
                if change.version <= version:
                    continue
                version = change.version
                rendered = _render_changes(change, kind)
                if rendered:
                    idle_s = 0.0
                    yield _render_line(version, rendered)
        finally:
            self._open_count -= 1
            self._streams.mailbox.put(events.Unwatch(watcher))


def _render_changes(
    change: messages.StateChange, kind: str
) -> list[dict[str, typing.Any]]:
    return [
        documents.render_stored(stored)
        for stored in model.decode_changes(change.payload)
        if kind in ("", stored.kind.value)
    ]


def _render_line(
    version: ids.StateVersion, changes: list[dict[str, typing.Any]]
) -> bytes:
    document = {"version": version, "changes": changes}
    return msgspec.json.encode(document) + b"\n"


def answer_watch(
    watches: Watches,
    request: requests.Request,
    start_response: Callable[..., typing.Any],
) -> typing.Iterable[bytes]:
    """Answers a request for a watch.

    Args:
        watches: The watches of this process.
        request: The request.
        start_response: WSGI callable for the head.

    Returns:
        The lines, sent in chunks; or the body of a refusal.
    """
    lines = watches.start(request)
    if isinstance(lines, answers.Refusal):
        response: problem.Response = answers.build_response(lines)
        start_response(response.status, response.headers)
        return [response.body]
    start_response("200 OK", [("Content-Type", "application/jsonl")])
    return lines
