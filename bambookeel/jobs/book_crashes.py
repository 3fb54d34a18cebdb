"""Replicated records of crashed and silent workers and the tasks on them."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import typing

import msgspec

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import specs


class SilentWorker(msgspec.Struct, frozen=True, array_like=True):
    """A worker that has lost its runs and may have crashed.

    Attributes:
        instance: Instance that it runs on; empty if unknown.
        suspects: Tasks that have crashed it if it has crashed, with the weight
            of the evidence against each.
        lost_wall_ms: Unix time in milliseconds at which it lost its runs; 0 if
            unknown.
    """

    instance: str
    suspects: tuple[tuple[specs.TaskRef, int], ...]
    lost_wall_ms: int = 0


class OpenCase(typing.NamedTuple):
    """A silent worker that a task may have crashed.

    Attributes:
        weight: Weight of the evidence against the task.
        lost_wall_ms: Unix time in milliseconds at which the worker lost its
            runs; 0 if unknown.
    """

    weight: int
    lost_wall_ms: int


_NO_CASES: Mapping[specs.WorkerIncarnation, OpenCase] = {}


def _is_open(ref: specs.TaskRef, jobs: Mapping[str, book_records.Job]) -> bool:
    return ref.job in jobs and jobs[ref.job].is_open


def _has_open_job(
    suspects: tuple[tuple[specs.TaskRef, int], ...],
    jobs: Mapping[str, book_records.Job],
) -> bool:
    return any(_is_open(ref, jobs) for ref, _ in suspects)


@dataclasses.dataclass(slots=True)
class CrashRecords:
    """Records of crashes that all replicas hold.

    Attributes:
        silent_workers: Workers of which it is open whether they have crashed;
            changed only by this class.
        suspects: Tasks with evidence against them; some may have ended.
        unexplained: Suspects of each crash for which no task has been given
            up, with the weight of the evidence against each.
    """

    silent_workers: dict[specs.WorkerIncarnation, SilentWorker] = (
        dataclasses.field(default_factory=dict)
    )
    suspects: dict[specs.TaskRef, None] = dataclasses.field(
        default_factory=dict
    )
    unexplained: dict[
        specs.WorkerIncarnation, tuple[tuple[specs.TaskRef, int], ...]
    ] = dataclasses.field(default_factory=dict)
    # Index of the suspects of the silent workers, by task and worker.
    _open_cases: dict[
        specs.TaskRef, dict[specs.WorkerIncarnation, OpenCase]
    ] = dataclasses.field(default_factory=dict)

    def restore_silent(
        self, workers: Iterable[tuple[specs.WorkerIncarnation, SilentWorker]]
    ) -> None:
        """Restores the silent workers from a snapshot.

        Args:
            workers: Silent workers, in the order of their loss.
        """
        for life, silent in workers:
            self._add_silent(life, silent)

    def list_open_cases(self, ref: specs.TaskRef) -> Collection[OpenCase]:
        """Lists the silent workers that a task may have crashed.

        Args:
            ref: Identifies the task.

        Returns:
            One case for each worker.
        """
        return self._open_cases.get(ref, _NO_CASES).values()

    def _add_silent(
        self, life: specs.WorkerIncarnation, silent: SilentWorker
    ) -> None:
        known = self.silent_workers.get(life)
        if known is not None:
            self._drop_cases(life, known)
        self.silent_workers[life] = silent
        for ref, weight in silent.suspects:
            cases = self._open_cases.setdefault(ref, {})
            cases[life] = OpenCase(weight, silent.lost_wall_ms)

    def _remove_silent(
        self, life: specs.WorkerIncarnation
    ) -> SilentWorker | None:
        silent = self.silent_workers.pop(life, None)
        if silent is not None:
            self._drop_cases(life, silent)
        return silent

    def _drop_cases(
        self, life: specs.WorkerIncarnation, silent: SilentWorker
    ) -> None:
        for ref, _ in silent.suspects:
            cases = self._open_cases.get(ref, {})
            cases.pop(life, None)
            if not cases:
                self._open_cases.pop(ref, None)

    def record_loss(
        self,
        command: commands.LoseRuns,
        jobs: Mapping[str, book_records.Job],
    ) -> None:
        """Records the suspects of a worker that has lost its runs.

        Args:
            command: Command that removed the runs.
            jobs: All jobs; workers with suspects of ended jobs only are
                forgotten.
        """
        if not command.suspects:
            return
        for life, silent in list(self.silent_workers.items()):
            if not _has_open_job(silent.suspects, jobs):
                self._remove_silent(life)
        self._add_silent(
            command.life,
            SilentWorker(
                command.instance, command.suspects, command.at_wall_ms
            ),
        )
        self.suspects = {
            ref: None for ref in self.suspects if _is_open(ref, jobs)
        }
        self.unexplained = {
            life: suspects
            for life, suspects in self.unexplained.items()
            if _has_open_job(suspects, jobs)
        }

    def apply(
        self,
        command: commands.Command,
        get_task: Callable[[specs.TaskRef], book_records.Task | None],
    ) -> None:
        """Applies a command that concerns crashes; ignores all others.

        Args:
            command: A committed command.
            get_task: Looks up a task.
        """
        match command:
            case commands.WorkerCrashed(life):
                silent = self._remove_silent(life)
                if silent is not None:
                    self._count_crash(life, silent.suspects, get_task)
            case commands.GiveUpJob(_, _, _, ref):
                task = get_task(ref) if ref is not None else None
                if task is not None:
                    task.is_given_up = True
                    self._explain_crashes(task, get_task)
            case commands.WorkerReturned(life) | commands.WorkerEnded(life):
                self._remove_silent(life)
            case commands.ClearTasks(tasks):
                for ref in tasks:
                    self.suspects.pop(ref, None)
                    task = get_task(ref)
                    if task is not None:
                        task.has_worked = True
                        task.crashes = 0
                        task.evidence = 0
                        task.explained_evidence = 0
                self._drop_suspects(frozenset(tasks))

    def _count_crash(
        self,
        life: specs.WorkerIncarnation,
        suspects: tuple[tuple[specs.TaskRef, int], ...],
        get_task: Callable[[specs.TaskRef], book_records.Task | None],
    ) -> None:
        counted = []
        culprit = None
        for ref, evidence in suspects:
            task = get_task(ref)
            if task is None:
                continue
            if task.is_given_up:
                culprit = task
            if task.is_done:
                continue
            task.crashes += evidence > 0
            task.evidence += evidence
            self.suspects[task.ref] = None
            counted.append((task.ref, evidence))
        if counted:
            self.unexplained[life] = tuple(counted)
        if culprit is not None:
            self._explain_crashes(culprit, get_task)

    def _explain_crashes(
        self,
        culprit: book_records.Task,
        get_task: Callable[[specs.TaskRef], book_records.Task | None],
    ) -> None:
        """Takes back the evidence from the crashes that a task has caused.

        Args:
            culprit: The task, whose job has been given up.
            get_task: Looks up a task.
        """
        for life, suspects in list(self.unexplained.items()):
            if all(ref != culprit.ref for ref, _ in suspects):
                continue
            del self.unexplained[life]
            for ref, evidence in suspects:
                task = get_task(ref)
                if task is not None and task is not culprit:
                    task.explained_evidence += evidence

    def _drop_suspects(self, cleared: frozenset[specs.TaskRef]) -> None:
        for life, suspects in list(self.unexplained.items()):
            self.unexplained[life] = tuple(
                (ref, evidence)
                for ref, evidence in suspects
                if ref not in cleared
            )
