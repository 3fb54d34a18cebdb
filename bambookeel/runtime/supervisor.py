"""The supervisor tree.

A supervisor starts named tasks and restarts one that failed, with a growing
pause. A broken invariant is never restarted: it ends the process, since its
state can no longer be trusted. A task that keeps failing ends the process too,
so that the platform sees it.
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
_FIRST_PAUSE_MS = 20
_MAX_PAUSE_MS = 2_000


@dataclasses.dataclass(slots=True)
class _Child:
    name: str
    run: Callable[[], None]
    greenlet: gevent.Greenlet | None = None
    restarts_at_ms: list[int] = dataclasses.field(default_factory=list)


def end_process(reason: str) -> None:
    """Ends the process at once because its state cannot be trusted.

    Args:
        reason: For the log.
    """
    logs.log_event("process_ended", reason=reason)
    sys.stderr.flush()
    os._exit(EXIT_BROKEN_INVARIANT)


class Supervisor:
    """Runs tasks and restarts those that fail."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._children: list[_Child] = []

    def start_task(self, name: str, run: Callable[[], None]) -> None:
        """Starts a task that should run as long as the process.

        Args:
            name: Its name for the log.
            run: The function; returning ends the task for good.
        """
        child = _Child(name, run)
        self._children.append(child)
        child.greenlet = gevent.spawn(self._run_child, child)

    def start_supervisor(self, name: str) -> "Supervisor":
        """Starts a supervisor below this one.

        Args:
            name: Its name for the log.

        Returns:
            The new supervisor; it stops with this one.
        """
        below = Supervisor(f"{self.name}/{name}")
        child = _Child(name, below.stop)
        child.greenlet = None
        self._children.append(child)
        return below

    def _run_child(self, child: _Child) -> None:
        pause_ms = _FIRST_PAUSE_MS
        while True:
            try:
                child.run()
                return
            except gevent.GreenletExit:
                return
            except faults.InvariantError as error:
                end_process(f"invariant broken in {child.name}: {error}")
            except Exception as error:  # pylint: disable=broad-exception-caught
                self._report_failure(child, error)
            gevent.sleep(pause_ms / 1000.0)
            pause_ms = min(pause_ms * 2, _MAX_PAUSE_MS)

    def _report_failure(self, child: _Child, error: Exception) -> None:
        now_ms = clock.read_now_ms()
        logs.log_event(
            "task_failed",
            task=f"{self.name}/{child.name}",
            error=repr(error),
            trace=traceback.format_exc(limit=8),
        )
        child.restarts_at_ms.append(now_ms)
        window_start_ms = now_ms - _RESTART_WINDOW_MS
        recent = [at for at in child.restarts_at_ms if at >= window_start_ms]
        child.restarts_at_ms = recent
        if len(recent) > _MAX_RESTARTS:
            end_process(f"task {child.name} failed {len(recent)} times")

    def stop(self) -> None:
        """Stops all tasks, the last started first."""
        for child in reversed(self._children):
            if child.greenlet is None:
                child.run()
                continue
            child.greenlet.kill(block=True, timeout=1.0)
