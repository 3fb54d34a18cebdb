"""Builds the request path of an entry and registers its metrics.

The request path consists of the parts that carry a request from the caller's
connection to the backend server. They are built here, so that the process
module only starts and stops them.
"""

import dataclasses
import functools

from bambookeel.core import ids
from bambookeel.core import settings as core_settings
from bambookeel.entry import admission
from bambookeel.entry import announcements
from bambookeel.entry import answer_fetcher
from bambookeel.entry import caller_watch
from bambookeel.entry import callers_app
from bambookeel.entry import follower_task
from bambookeel.entry import holder_watch
from bambookeel.entry import holders
from bambookeel.entry import kept_answers
from bambookeel.entry import keyed_requests
from bambookeel.entry import outstanding
from bambookeel.entry import releases
from bambookeel.entry import request_table
from bambookeel.entry import requests
from bambookeel.entry import router
from bambookeel.entry import slot_acquirer
from bambookeel.net import connection_pool
from bambookeel.net import http_server
from bambookeel.runtime import clock
from bambookeel.runtime import metrics

# A connection that has been idle for longer is not used for a request that is
# not idempotent.
_REUSE_WITHIN_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPath:
    """The parts that the process starts, stops and routes messages to.

    Attributes:
        callers: The HTTP server for callers and backend servers.
        caller_watch: Detects callers that disconnect.
        message_parts: The parts that handle messages.
        slot_releases: Returns slots to the holders of dispatch leases.
    """

    callers: http_server.Server
    caller_watch: caller_watch.CallerWatch
    message_parts: router.RequestParts
    slot_releases: releases.Releases


def build_request_path(
    settings: core_settings.EntrySettings,
    incarnation: ids.Incarnation,
    follower: follower_task.FollowerTask,
    message_router: router.Router,
    announced: announcements.AnnouncementReceiver,
) -> RequestPath:
    """Builds the parts of the request path.

    Args:
        settings: The process's settings.
        incarnation: Number of this start of the process.
        follower: Follows the replicated state.
        message_router: Sends messages.
        announced: Handles announcements of backend servers.

    Returns:
        The parts, not yet started.
    """
    process_id = ids.ProcessId(settings.process_id)
    limits = settings.limits
    table = request_table.RequestTable()
    outstanding_table = outstanding.OutstandingTable()
    find_holder = functools.partial(holders.find_holder, follower)
    slot_releases = releases.Releases(
        process_id, outstanding_table, find_holder, message_router.send
    )
    pool = connection_pool.ConnectionPool(_REUSE_WITHIN_MS)
    runner = requests.RequestRunner(
        requests.RunnerParts(
            slot_acquirer.SlotAcquirer(
                table,
                outstanding_table,
                slot_releases,
                find_holder,
                message_router.send,
            ),
            outstanding_table,
            slot_releases,
            pool,
            limits.max_answer_bytes,
        )
    )
    kept = kept_answers.KeptAnswers(process_id, limits.max_kept_answer_bytes)
    fetcher = answer_fetcher.AnswerFetcher(
        process_id, kept, message_router.send
    )
    watch = caller_watch.CallerWatch()
    app = callers_app.CallersApp(
        process_id,
        incarnation,
        admission.Admission(follower, settings.limits),
        keyed_requests.KeyedRunner(runner, kept, fetcher),
        watch,
        announced,
    )
    callers = http_server.Server(
        settings.callers_listen,
        app,
        limits.max_connections,
        limits.head_timeout_ms,
        max_header_bytes=limits.max_header_bytes,
    )
    holder_watcher = holder_watch.HolderWatch(
        follower, table, outstanding_table, slot_releases, pool
    )
    _register_metrics(
        callers, watch, pool, outstanding_table, kept, slot_releases, follower
    )
    parts = router.RequestParts(
        holder_watcher,
        outstanding_table,
        kept,
        fetcher,
        getattr(announced, "list_recent", _list_no_announcements),
    )
    return RequestPath(callers, watch, parts, slot_releases)


def _list_no_announcements(_service: ids.ServiceName) -> tuple:
    return ()


def _register_metrics(
    callers: http_server.Server,
    watch: caller_watch.CallerWatch,
    pool: connection_pool.ConnectionPool,
    outstanding_table: outstanding.OutstandingTable,
    kept: kept_answers.KeptAnswers,
    slot_releases: releases.Releases,
    follower: follower_task.FollowerTask,
) -> None:
    """Registers the metrics of the request path.

    Args:
        callers: The HTTP server for callers.
        watch: Counts the requests that are being served.
        pool: The connections to backend servers.
        outstanding_table: The grants in use.
        kept: The kept answers.
        slot_releases: Counts the releases that could not be sent.
        follower: Supplies the applied version and the freshness.
    """
    metrics.register_gauge(
        "caller_connections",
        "Open connections of callers.",
        callers.count_connections,
    )
    metrics.register_gauge(
        "requests_in_flight", "Requests being served.", watch.count_callers
    )
    metrics.register_gauge(
        "backend_connections",
        "Open connections to backend servers.",
        pool.count_connections,
    )
    metrics.register_gauge(
        "slots_held",
        "Slots in use or still counting.",
        outstanding_table.count_held,
    )
    metrics.register_gauge(
        "kept_answer_bytes",
        "Bytes of answers kept for repeats.",
        lambda: kept.kept_bytes,
    )
    metrics.register_gauge(
        "unsent_releases",
        "Returned slots that no holder has been told of.",
        slot_releases.count_unsent,
    )
    metrics.register_gauge(
        "applied_version",
        "State version that this entry has applied.",
        lambda: follower.view.version,
    )
    metrics.register_gauge(
        "key_table_fresh_for_seconds",
        "Time for which the key table may still be trusted.",
        lambda: (follower.fresh_until_ms - clock.read_now_ms()) / 1000.0,
    )
