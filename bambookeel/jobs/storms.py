"""Recognises queues whose jobs crash their workers again and again.

Load pattern: some jobs of a queue have a task that crashes each worker which
starts it. The crashes go on at many different moments, since each worker that
comes back gets the next of these tasks. Workers that a failed rack or a cut
takes away fall silent together.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from bambookeel.jobs import book_crashes
from bambookeel.jobs import crash_evidence
from bambookeel.jobs import crashes
from bambookeel.jobs import term as term_state

# A crash counts for this long after the worker's last report; it is known once
# the worker is back.
_WINDOW_MS = 8_000
# There is a storm from this number of crashes, and this share of the workers.
_MIN_CRASHES = 3
_MIN_SHARE = 0.05
# Crashes have to fall on this many moments, which are this far apart.
_MIN_MOMENTS = 3
_MOMENT_MS = 300


def note_crash(
    term: term_state.Term, silent: book_crashes.SilentWorker
) -> None:
    """Notes the crash of a worker for the queues of its suspects.

    A worker that has not reported to this leader is passed over.

    Args:
        term: State of the leader's term.
        silent: The worker that has crashed.
    """
    at_ms = next(
        (
            ended.last_report_ms
            for ended in reversed(term.ended_workers)
            if ended.instance == silent.instance
        ),
        None,
    )
    if at_ms is None:
        return
    queues = {
        term.book.jobs[ref.job].queue
        for ref, weight in silent.suspects
        if weight and ref.job in term.book.jobs
    }
    for queue in queues:
        term.storms.crash_times_ms[queue].append(at_ms)


def find_queues(
    term: term_state.Term, now: term_state.Now
) -> dict[str, frozenset[str]]:
    """Finds the queues whose jobs crash their workers.

    Args:
        term: State of the leader's term.
        now: Current time.

    Returns:
        Names of these queues, by service; services without any are left out.
    """
    workers: collections.Counter[str] = collections.Counter()
    times_ms = _list_silent(term, now, workers)
    for queue, crashes_ms in term.storms.crash_times_ms.items():
        crashes_ms[:] = [
            at_ms for at_ms in crashes_ms if now.steady_ms - at_ms <= _WINDOW_MS
        ]
        if crashes_ms:
            times_ms.setdefault(queue, []).extend(crashes_ms)
    found: dict[str, set[str]] = {}
    for queue, at_ms in times_ms.items():
        configured = term.book.find_queue(queue)
        if configured is None:
            continue
        service = configured.service
        least = max(_MIN_CRASHES, _MIN_SHARE * workers[service])
        if len(at_ms) >= least and _count_moments(at_ms) >= _MIN_MOMENTS:
            found.setdefault(service, set()).add(queue)
    storms = {name: frozenset(queues) for name, queues in found.items()}
    if storms != term.storms.queues:
        _log_change(term, storms)
        term.storms.queues = storms
    return storms


def _list_silent(
    term: term_state.Term,
    now: term_state.Now,
    workers: collections.Counter[str],
) -> dict[str, list[int]]:
    """Lists the silent workers that had just started runs.

    Args:
        term: State of the leader's term.
        now: Current time.
        workers: Gets the number of workers of each service.

    Returns:
        Steady-clock time in milliseconds of their last reports, by queue.
    """
    times_ms: dict[str, list[int]] = {}
    max_silence_ms = term.settings.assign_max_silence_ms
    for worker in term.workers.by_id.values():
        workers[worker.report.service] += 1
        silent_ms = now.steady_ms - worker.last_report_ms
        if silent_ms <= max_silence_ms or silent_ms > _WINDOW_MS:
            continue
        if worker.report.is_leaving:
            continue
        runs = term.book.assigned_runs.get(worker.incarnation, {})
        queues = {
            term.book.jobs[run.task.job].queue
            for run in runs.values()
            if crashes.measure_work_ms(run, worker, now)
            < crash_evidence.FRESH_MS
        }
        for queue in queues:
            times_ms.setdefault(queue, []).append(worker.last_report_ms)
    return times_ms


def _count_moments(times_ms: Iterable[int]) -> int:
    count = 0
    last_ms = None
    for at_ms in sorted(times_ms):
        if last_ms is None or at_ms - last_ms >= _MOMENT_MS:
            count += 1
            last_ms = at_ms
    return count


def _log_change(
    term: term_state.Term, found: Mapping[str, frozenset[str]]
) -> None:
    for service in sorted({*found, *term.storms.queues}):
        queues = found.get(service, frozenset())
        for queue in sorted(
            queues ^ term.storms.queues.get(service, frozenset())
        ):
            term.log_event(
                "crash_storm",
                service=service,
                queue=queue,
                state="began" if queue in queues else "ended",
                crashes=len(term.storms.crash_times_ms.get(queue, ())),
            )
