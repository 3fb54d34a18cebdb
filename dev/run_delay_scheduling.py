"""Compares ways to wait for a rack, on simulated loads without a network.

Prints for each load and each way the mean and the 95th percentile of the time
that jobs take, and how many are in time.
"""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import dataclasses
import statistics
import typing
from unittest import mock

from absl import app
from absl import flags

from bambookeel.jobs import book_records
from bambookeel.jobs import place_waits
from bambookeel.jobs import placing
from bambookeel.jobs import rack_choice
from bambookeel.jobs import specs
from bambookeel.jobs import term as term_state
from features.fakes import jobs_racks

_SECONDS = flags.DEFINE_integer("seconds", 12, "Time in which jobs arrive.")
_SEEDS = flags.DEFINE_integer("seeds", 3, "Number of seeds, from 1.")
_FACTOR = flags.DEFINE_float("factor", 2.0, "Run times in a remote rack.")
_ONLY_LOADS = flags.DEFINE_list("loads", ["light", "middle", "full"], "Loads.")
_ONLY_WAYS = flags.DEFINE_list(
    "ways", ["before", "none", "200", "500", "1000", "decision"], "Ways."
)

_RACKS = 12
_WORKERS_A_RACK = 4
_PROCESSES = 5
# Jobs a second; 16 use all processors if no task is remote.
_LOADS = {"light": 4.0, "middle": 8.0, "full": 12.0}
_HOT_SHARE = 0.7


@dataclasses.dataclass(frozen=True)
class _Case:
    """One simulated load and one way to wait.

    The way is `before` if the scheduler does not know the factor, `none`, the
    length of fixed waits in milliseconds, or `decision`.
    """

    load: str
    is_hot: bool
    way: str
    factor: float
    seed: int
    seconds: int


class _FixedWaits:
    """Lets tasks without room in their rack wait for a fixed time."""

    def __init__(self, wait_ms: int) -> None:
        self._wait_ms = wait_ms
        self._since_ms: dict[specs.TaskRef, int] = {}

    def _wait(self, choice: rack_choice.RackChoice, ref: specs.TaskRef) -> bool:
        now_ms = choice.now.steady_ms
        since_ms = self._since_ms.setdefault(ref, now_ms)
        return now_ms - since_ms < self._wait_ms

    def must_task_wait(
        self,
        _term: term_state.Term,
        choice: rack_choice.RackChoice,
        step: book_records.Step,
        task: book_records.Task,
        rack: str,
    ) -> bool:
        """Decides whether a task waits."""
        needs = step.spec.reserved
        if any(c.fits(needs) for c in choice.by_rack.get(rack, ())):
            return False
        now_ms = choice.now.steady_ms
        if placing.choose_worker(choice.capacities, step, now_ms) is None:
            return False
        return self._wait(choice, task.ref)

    def must_gang_wait(
        self,
        _term: term_state.Term,
        choice: rack_choice.RackChoice,
        step: book_records.Step,
    ) -> bool:
        """Decides whether a gang waits."""
        count = len(step.tasks)
        rooms = [
            sum(c.count_fitting(step.spec.reserved, count) for c in rack)
            for rack in choice.by_rack.values()
        ]
        if sum(rooms) < count or max(rooms) >= count:
            return False
        return self._wait(choice, step.tasks[0].ref)


@contextlib.contextmanager
def _replace_decisions(way: str) -> Iterator[None]:
    if way in ("decision", "before"):
        yield
        return
    fixed = _FixedWaits(0 if way == "none" else int(way))
    with contextlib.ExitStack() as stack:
        for name in ("must_task_wait", "must_gang_wait"):
            replacement: Callable[..., bool] = getattr(fixed, name)
            stack.enter_context(
                mock.patch.object(place_waits, name, replacement)
            )
        yield


def _run_case(case: _Case) -> dict[str, typing.Any]:
    simulation = jobs_racks.RackSimulation(
        case.seed, _RACKS, _WORKERS_A_RACK, case.factor
    )
    if case.way == "before":
        simulation.scheduler.term.settings = jobs_racks.make_settings(1)
    load = jobs_racks.Load(
        _LOADS[case.load], _HOT_SHARE if case.is_hot else 0.0, racks=_RACKS
    )
    run = jobs_racks.LoadRun(simulation, load, case.seconds, case.seed)
    with _replace_decisions(case.way):
        run.run()
    result = run.summarise()
    result["violations"] = len(simulation.violations)
    for outcome, (
        tasks,
        waited_ms,
    ) in simulation.scheduler.take_ended_waits().items():
        result[outcome] = tasks
        result[f"{outcome}_s"] = waited_ms / 1_000
    return result


def compare(_arguments: list[str]) -> None:
    """Runs all cases and prints one line for each load and way."""
    groups = [
        (load, is_hot, way)
        for load in _ONLY_LOADS.value
        for is_hot in (False, True)
        for way in _ONLY_WAYS.value
    ]
    seeds = range(1, _SEEDS.value + 1)
    cases = [
        _Case(*group, _FACTOR.value, seed, _SECONDS.value)
        for group in groups
        for seed in seeds
    ]
    with futures.ProcessPoolExecutor(_PROCESSES) as pool:
        results = pool.map(_run_case, cases)
        for load, is_hot, way in groups:
            found = [next(results) for _ in seeds]
            keys = dict.fromkeys(key for each in found for key in each)
            figures = " ".join(
                f"{key}={statistics.mean(e.get(key, 0) for e in found):.1f}"
                for key in keys
            )
            data = "hot" if is_hot else "spread"
            print(
                f"load={load} data={data} factor={_FACTOR.value:g} way={way}"
                f" {figures}",
                flush=True,
            )


if __name__ == "__main__":
    app.run(compare)
