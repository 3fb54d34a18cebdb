"""Streams changes after a given version to operators, as lines of JSON.

Each line has a version and the resources that changed in it. A client resumes a
watch without a gap from the version of the last line that it received. If the
changes since that version are no longer kept, the watch is refused and the
client has to list the resources first.
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
# After this time without changes a line without changes is sent, which shows
# the client that the watch is still alive.
_KEEP_ALIVE_S = 5.0
_POLL_INTERVAL_S = 0.25
_MAX_QUEUED_CHANGES = 20_000


class Watches:
    """The open watches of one control process."""

    def __init__(self, streams: stream_task.StreamTask) -> None:
        self._streams = streams
        self._open_count = 0
        self._stopping = False

    def stop(self) -> None:
        """Ends all watches, each at its next poll."""
        self._stopping = True

    def start(
        self, request: requests.Request
    ) -> Iterator[bytes] | answers.Refusal:
        """Starts a watch.

        Args:
            request: Request with the parameter `from` and optionally `kind`.

        Returns:
            The lines to send, or a refusal.
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
            is_accepted = reply.get(timeout=_REPLY_TIMEOUT_S)
        except gevent.Timeout:
            self._streams.mailbox.put(events.Unwatch(watcher))
            return answers.Refusal("503 Service Unavailable", "no answer")
        if not is_accepted:
            detail = (
                f"changes since version {version} are no longer kept; list"
                " first and watch from the version of the list"
            )
            return answers.Refusal("410 Gone", detail)
        return self._render_lines(watcher, version, kind)

    def _render_lines(
        self, watcher: mailbox.Mailbox, version: ids.StateVersion, kind: str
    ) -> Iterator[bytes]:
        """Renders the lines of one watch until it ends.

        Args:
            watcher: Mailbox that receives the changes.
            version: The version that the client has.
            kind: The kind to which the watch is limited; empty for all kinds.

        Yields:
            Lines of JSON.
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
    """Handles a request for a watch.

    Args:
        watches: The open watches of this process.
        request: The authenticated request.
        start_response: WSGI callable that sends status and headers.

    Returns:
        The lines of the watch, each sent as a chunk; or the body of a refusal.
    """
    lines = watches.start(request)
    if isinstance(lines, answers.Refusal):
        response: problem.Response = answers.build_response(lines)
        start_response(response.status, response.headers)
        return [response.body]
    start_response("200 OK", [("Content-Type", "application/jsonl")])
    return lines
