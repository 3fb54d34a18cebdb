"""Places random tasks in plans, to compare remembered with new searches."""

import random

from bambookeel.jobs import book_records
from bambookeel.jobs import no_room
from bambookeel.jobs import placing
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table
from features.fakes import jobs_worker

_JOBS = ("a", "b", "c", "d")
_LABELS = ("", "", "x", "y")
_NOW_MS = 1_000
_TASKS = 60


def _build_capacities(source):
    workers = []
    for i in range(source.randrange(1, 5)):
        sim = jobs_worker.SimWorker(
            f"w{i}",
            "pack",
            specs.Resources(
                source.randrange(4_000, 16_000), source.randrange(20, 60), 0
            ),
            (source.choice(_LABELS), f"r{i % 2}"),
            1,
        )
        report = sim.make_report(_NOW_MS)
        workers.append(worker_table.Worker(report, _NOW_MS, _NOW_MS, _NOW_MS))
    isolated = {
        worker.incarnation: {source.choice(_JOBS): source.choice(no_room.ORDER)}
        for worker in workers
        if source.random() < 0.4
    }
    capacities = placing.measure_free(workers, isolated)
    for capacity in capacities:
        if source.random() < 0.3:
            capacity.kept_for = source.choice(_JOBS)
    return capacities


def _build_step(source, number):
    spec = specs.StepSpec(
        count=1,
        needs=specs.Resources(
            source.randrange(500, 6_000, 500), source.randrange(5, 30, 5), 0
        ),
        label=source.choice(_LABELS),
        max_per_instance=source.choice([0, 0, 0, 1]),
    )
    key = (source.choice(_JOBS), 0, number)
    task = book_records.Task(specs.TaskRef(*key, 0))
    return book_records.Step(key, spec, 0, [task], 0)


def simulate(seed):
    """Places random tasks in one plan.

    Args:
        seed: Seed of the plan.

    Returns:
        Number of searches that were left out, and those of them that would
        have found a worker.
    """
    source = random.Random(seed)
    capacities = _build_capacities(source)
    memory = no_room.NoRoom()
    memory.note_kept(capacities)
    left_out = 0
    wrong = []
    for number in range(_TASKS):
        step = _build_step(source, number)
        isolation = source.choice((*no_room.ORDER, placing.Isolation.HELD))
        is_left_out = memory.includes(step, isolation)
        found = placing.choose_worker(
            capacities, step, _NOW_MS, isolation=isolation
        )
        left_out += is_left_out
        if is_left_out and found is not None:
            wrong.append((seed, number, isolation))
        if found is None:
            memory.add(step, isolation)
        elif source.random() < 0.7:
            found.reserve(step.key, step.spec.reserved, isolation)
            memory.note_placed(step, isolation)
    return left_out, wrong
