"""Recognises queues whose jobs crash their workers again and again.

Load pattern: some jobs of a queue have a task that crashes each worker which
starts it. The crashes go on at many different moments, since each worker that
comes back gets the next of these tasks. Workers that a failed rack or a cut
takes away fall silent together.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

from bambookeel.jobs import crash_evidence
from bambookeel.jobs import crashes
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state

# A crash counts for this long after it has become known.
_WINDOW_MS = 5_000
# There is a storm from this number of crashes, and this share of the workers.
_MIN_CRASHES = 3
_MIN_SHARE = 0.05
# Crashes have to fall on this many moments, which are this far apart.
_MIN_MOMENTS = 3
_MOMENT_MS = 300


def note_crash(
    term: term_state.Term,
    suspects: Iterable[tuple[specs.TaskRef, int]],
    now_ms: int,
) -> None:
    """Notes the crash of a worker for the queues of its suspects.

    Args:
        term: State of the leader's term.
        suspects: Tasks that may have crashed it, with the weight of the
            evidence against each.
        now_ms: Steady-clock time in milliseconds.
    """
    jobs = (term.book.jobs.get(ref.job) for ref, weight in suspects if weight)
    for queue in {job.queue for job in jobs if job is not None}:
        term.storms.crash_times_ms[queue].append(now_ms)


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
    for queue, counted_ms in term.storms.crash_times_ms.items():
        while counted_ms and now.steady_ms - counted_ms[0] > _WINDOW_MS:
            counted_ms.popleft()
        if counted_ms:
            times_ms.setdefault(queue, []).extend(counted_ms)
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
