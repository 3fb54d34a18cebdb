"""Workers of the node soak, which crash, start again and are cut off.

An answer names no life of a worker. One that is under way when the worker
crashes may reach the next life under the same id, which obeys it if it arrives
within a second of the report that it answers.
"""

import dataclasses
import json
import time
import typing

import gevent
from gevent import event

from features.fakes import platform_worker

# Start of a job's text that sets how long its tasks run, in milliseconds.
RUN_MS_PREFIX = "run_ms="
# A worker drops an answer that arrives later than this after its report.
ANSWER_TIMEOUT_S = 1.0
# A task under which workers crash more often may rightly be given up.
_MAX_CRASHES_PER_TASK = 2
# Maximum wait for an answer at which a worker may crash.
_MAX_WAIT_S = 20.0

_Answer = tuple[int, dict[str, str], bytes] | None


@dataclasses.dataclass(frozen=True)
class Crash:
    """A crash while an answer is under way, and a cut of the next life.

    Attributes:
        wait_s: How long to wait for an answer that starts a run; then any
            answer will do.
        down_s: Time from the crash until the worker is back under its id.
        answer_s: Time from the report until its answer arrives.
        cut_after_s: Time from the return until the worker is cut off.
        cut_s: Length of the cut.
    """

    wait_s: float
    down_s: float
    answer_s: float
    cut_after_s: float
    cut_s: float


class SoakWorker(platform_worker.FakeWorker):
    """A simulated worker whose reports and answers may outlive it.

    Attributes:
        takes_former_answers: Whether a life obeys answers to the reports of
            the life before.
        delivers_late: Whether reports sent during a cut arrive when it heals;
            otherwise they are lost.
        data_centre: Data centre of the worker.
        counts: Number of crashes, answers to a former life and late reports.
    """

    def __init__(self, site: typing.Any, name: str, run_s: float = 0.15):
        super().__init__(site, name, run_s)
        self.takes_former_answers = True
        self.delivers_late = True
        self.data_centre = "north"
        self.counts: dict[str, int] = {}
        # When each of its runs was first listed, by task and run number.
        self._listed_s: dict[tuple[str, int], float] = {}
        self._is_up = True
        # No further report is sent before this time: one is outstanding.
        self._answer_due_s = 0.0
        self._crash: Crash | None = None
        self._any_answer_from_s = 0.0
        self._crash_is_over = event.Event()
        self._is_connected = event.Event()
        self._is_connected.set()

    # --- Faults ---

    def restart(self) -> None:
        """Simulates a crash and a restart with the same id and no runs."""
        super().restart()
        self._address = None
        self._answer_due_s = 0.0
        self._next_report = 0.0

    def restart_if_allowed(self) -> None:
        """Restarts at once, unless its tasks have had enough crashes."""
        if self._is_up and self._count_crash(set(self.running)):
            self.restart()

    def run_crash(self, crash: Crash) -> None:
        """Crashes while an answer is under way; returns after the cut.

        Args:
            crash: When the worker crashes, is back and is cut off.
        """
        self._crash_is_over.clear()
        self._any_answer_from_s = time.monotonic() + crash.wait_s
        self._crash = crash
        with gevent.Timeout(_MAX_WAIT_S, False):
            self._crash_is_over.wait()
        if self._crash is not None:
            self._crash = None
            return
        self._crash_is_over.wait()

    def _run_crash(self, crash: Crash) -> None:
        self.restart()
        self._is_up = False
        self._add_count("crashes")
        gevent.sleep(crash.down_s)
        self.restart()
        self._is_up = True
        gevent.sleep(crash.cut_after_s)
        self._is_connected.clear()
        gevent.sleep(crash.cut_s)
        self._is_connected.set()
        self._crash_is_over.set()

    def _add_count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    # --- Reports and answers ---

    def step(self) -> None:
        """Ends runs that are done or without a lease, and reports when due."""
        if self._is_up:
            super().step()

    def _report(self, now: float) -> None:
        if now < self._answer_due_s:
            return
        if self._answer_due_s:
            # The answer to the last report has not arrived in time.
            self._address = None
        self._answer_due_s = now + ANSWER_TIMEOUT_S
        body = self._build_report(now)
        gevent.spawn(self._exchange, self._choose_address(), body, now)

    def _build_report(self, now: float) -> dict[str, typing.Any]:
        body: dict[str, typing.Any] = super()._build_report(now)
        body["zone"] = self.data_centre
        listed_s = {}
        for row in body["running"]:
            key = row[0], row[1]
            listed_s[key] = self._listed_s.get(key, now)
            _, ends_s = self.running[row[0]]
            share = (now - listed_s[key]) / max(0.001, ends_s - listed_s[key])
            row[3] = min(99, int(100 * share))
        self._listed_s = listed_s
        return body

    def _exchange(
        self,
        address: tuple[str, int],
        body: dict[str, typing.Any],
        sent_s: float,
    ) -> None:
        """Sends a report and obeys its answer.

        Args:
            address: Host and port of the node.
            body: The report.
            sent_s: When it was sent, in seconds of the monotonic clock.
        """
        if not self._is_connected.is_set():
            if self.delivers_late:
                self._is_connected.wait()
                self._add_count("late reports")
                self._send_report(address, body)
            return
        answer = self._send_report(address, body)
        crash = self._crash
        if crash is not None and self._is_crash_due(body, answer):
            self._crash = None
            gevent.spawn(self._run_crash, crash)
            gevent.sleep(max(0.0, sent_s + crash.answer_s - time.monotonic()))
        if not self._is_connected.is_set() or not self._is_up:
            return
        if time.monotonic() > sent_s + ANSWER_TIMEOUT_S:
            return
        if self._born == body["born"]:
            self._answer_due_s = 0.0
            self._receive_answer(answer, sent_s)
        elif self.takes_former_answers:
            self._receive_former_answer(answer, sent_s)

    def _is_crash_due(
        self, body: dict[str, typing.Any], answer: _Answer
    ) -> bool:
        if answer is None or answer[0] != 200 or not self._is_up:
            return False
        if self._born != body["born"]:
            return False
        starts = [row[0] for row in _list_starts(answer)]
        if not starts and time.monotonic() < self._any_answer_from_s:
            return False
        return self._count_crash({*starts, *self.running})

    def _count_crash(self, tasks: set[str]) -> bool:
        """Counts a crash under some tasks, unless one has had enough of them.

        Args:
            tasks: Tasks that run on the worker or are about to.

        Returns:
            Whether the worker may crash.
        """
        crashes = self._site.crashes_by_task
        if any(crashes.get(t, 0) >= _MAX_CRASHES_PER_TASK for t in tasks):
            return False
        for task in tasks:
            crashes[task] = crashes.get(task, 0) + 1
        return True

    def _receive_former_answer(self, answer: _Answer, sent_s: float) -> None:
        if answer is None or answer[0] != 200:
            return
        self._add_count("former answers")
        self._apply_orders(json.loads(answer[2]), sent_s)

    def _get_run_s(self, spec: str) -> float:
        if spec.startswith(RUN_MS_PREFIX):
            return int(spec.removeprefix(RUN_MS_PREFIX)) / 1000.0
        return self._run_s


def _list_starts(answer: tuple[int, dict[str, str], bytes]) -> list[typing.Any]:
    return json.loads(answer[2]).get("start_tasks") or []
