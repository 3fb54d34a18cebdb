"""The supervisor tree.

A supervisor starts named tasks and restarts a failed task after a backoff that
grows with each failure. After a violated invariant no task is restarted: the
process ends, since its state can no longer be trusted. A task that keeps
failing also ends the process, so that the platform notices the failure.
"""

from collections.abc import Callable
import dataclasses
import os
import sys
import traceback

import gevent
import gevent.event

from bambookeel.core import faults
from bambookeel.runtime import clock
from bambookeel.runtime import logs

EXIT_BROKEN_INVARIANT = 70
_MAX_RESTARTS = 20
_RESTART_WINDOW_MS = 60_000
_MIN_BACKOFF_MS = 20
_MAX_BACKOFF_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Child:
    """A task, or a child supervisor.

    Attributes:
        name: Name in the log.
        run: Function of the task; for a child supervisor the function that
            stops it.
        greenlet: Greenlet of the task; None for a child supervisor.
        failure_times_ms: Times of the task's recent failures, on the monotonic
            clock.
    """

    name: str
    run: Callable[[], None]
    greenlet: gevent.Greenlet | None = None
    failure_times_ms: list[int] = dataclasses.field(default_factory=list)


def end_process(reason: str) -> None:
    """Ends the process at once because its state cannot be trusted.

    Args:
        reason: Why the process ends, for the log.
    """
    logs.log_event("process_ended", reason=reason)
    sys.stderr.flush()
    os._exit(EXIT_BROKEN_INVARIANT)


class Supervisor:
    """Runs tasks and restarts tasks that fail."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._children: list[_Child] = []

    def start_task(self, name: str, run: Callable[[], None]) -> None:
        """Starts a task, usually one that runs as long as the process.

        Args:
            name: Name of the task in the log.
            run: Function of the task; it is not called again after it returns.
        """
        child = _Child(name, run)
        self._children.append(child)
        child.greenlet = gevent.spawn(self._run_child, child)

    def start_supervisor(self, name: str) -> "Supervisor":
        """Creates a child supervisor.

        Args:
            name: Name of the child supervisor in the log.

        Returns:
            The child supervisor; it is stopped together with this one.
        """
        child_supervisor = Supervisor(f"{self.name}/{name}")
        child = _Child(name, child_supervisor.stop)
        child.greenlet = None
        self._children.append(child)
        return child_supervisor

    def _run_child(self, child: _Child) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            try:
                child.run()
                return
            except gevent.GreenletExit:
                return
            except faults.InvariantError as error:
                end_process(f"invariant violated in {child.name}: {error}")
            except Exception as error:  # pylint: disable=broad-exception-caught
                self._report_failure(child, error)
            gevent.sleep(backoff_ms / 1000.0)
            backoff_ms = min(backoff_ms * 2, _MAX_BACKOFF_MS)

    def _report_failure(self, child: _Child, error: Exception) -> None:
        now_ms = clock.read_now_ms()
        logs.log_event(
            "task_failed",
            task=f"{self.name}/{child.name}",
            error=repr(error),
            trace=traceback.format_exc(limit=8),
        )
        child.failure_times_ms.append(now_ms)
        window_start_ms = now_ms - _RESTART_WINDOW_MS
        recent = [at for at in child.failure_times_ms if at >= window_start_ms]
        child.failure_times_ms = recent
        if len(recent) > _MAX_RESTARTS:
            end_process(f"task {child.name} failed {len(recent)} times")

    def stop(self) -> None:
        """Stops all tasks and child supervisors, the last started first."""
        for child in reversed(self._children):
            if child.greenlet is None:
                child.run()
                continue
            child.greenlet.kill(block=True, timeout=1.0)
