"""Checks the guarantees for jobs at each start of a run and each commit."""

from bambookeel.jobs import book_snapshot
from bambookeel.jobs import commands


def check_batch(simulation, batch):
    """Checks the decisions that have just been committed."""
    for command in batch:
        if isinstance(command, commands.LoseRuns):
            check_loss(simulation, command)
    check_snapshot(simulation)


def check_loss(simulation, command):
    """Checks that a worker does not have a run which it was never told of."""
    worker = simulation.workers.get(command.life.worker)
    if (
        command.reason != "never told"
        or worker is None
        or worker.born_wall_ms != command.life.born_wall_ms
    ):
        return
    for task, number, _ in command.runs:
        found = worker.running.get(task)
        if found is not None and found.run == number:
            simulation.violations.append(
                f"run {number} of {task} was taken for never received"
            )


def check_snapshot(simulation):
    """Checks at random times that a snapshot restores an equal book."""
    if simulation.random.random() < 0.01:
        restored = book_snapshot.decode_book(simulation.committed)
        encoded = book_snapshot.encode_book(restored)
        if encoded != simulation.committed:
            simulation.violations.append("a restored snapshot differs")
            simulation.snapshot_difference = (simulation.committed, encoded)


def check_data_centre(simulation, worker, task):
    """Checks that no task starts in a data centre that is evacuated.

    An answer of the simulation arrives at once, so that none that was sent
    before the acknowledgement can arrive after it.
    """
    if worker.data_centre in simulation.evacuated:
        simulation.violations.append(
            f"{task} starts in {worker.data_centre}, which is evacuated"
        )


def check_start(simulation, worker, order, step):
    """Checks all guarantees for one start."""
    task = order.task
    check_data_centre(simulation, worker, task)
    check_checkpoint(simulation, order, step)
    if task in simulation.acknowledged_tasks:
        simulation.violations.append(
            f"{task} starts after its end was acknowledged"
        )
    for other in simulation.workers.values():
        if other.is_up and task in other.running:
            if not step.allows_copies:
                simulation.violations.append(
                    f"{task} has two runs at the same time"
                )
    for earlier in step.after:
        before = simulation.specs[task.job].steps[earlier]
        done = {
            ref.task_index
            for ref, _, _, _ in simulation.done_runs
            if ref[:3] == (task.job, task.occurrence, earlier)
        }
        if len(done) < (1 if before.is_gang else before.count):
            simulation.violations.append(
                f"{task} starts before step {earlier} is complete"
            )
    used = step.reserved
    for run in worker.running.values():
        used += simulation.specs[run.task.job].steps[run.task.step].reserved
    if not used.fits_in(worker.capacity):
        simulation.violations.append(f"{worker.name} exceeds its capacity")
    most = step.max_per_instance
    if most:
        same = sum(
            (r.task.job, r.task.occurrence, r.task.step)
            == (task.job, task.occurrence, task.step)
            for r in worker.running.values()
        )
        if same >= most:
            simulation.violations.append(
                f"{task} is one too many of its step on {worker.name}"
            )
    if simulation.cap_milli:
        check_cap(simulation, task)


def check_cap(simulation, task):
    """Checks a team's cap over all workers that are up.

    The cap may be exceeded by the largest task.
    """
    team = simulation.scheduler.book.jobs[task.job].team
    total = simulation.specs[task.job].steps[task.step].needs.cpu_milli
    largest = total
    for worker in simulation.workers.values():
        if not worker.is_up:
            continue
        for run in worker.running.values():
            job = simulation.scheduler.book.jobs[run.task.job]
            if job.team == team:
                needs = (
                    simulation.specs[run.task.job].steps[run.task.step].needs
                )
                total += needs.cpu_milli
    if total > simulation.cap_milli + largest:
        simulation.violations.append(
            f"{team} uses {total} of a cap of {simulation.cap_milli}"
        )


def check_checkpoint(simulation, order, step):
    """Checks that a start resumes from a checkpoint of its own task or gang."""
    task = order.task
    simulation.start_checkpoints.append(order.saved)
    owner = task[:3] if step.is_gang else task
    own = ".".join(str(part) for part in owner) + "#"
    if order.saved and not order.saved.startswith(own):
        simulation.violations.append(f"{task} resumes from {order.saved}")
    gang = (*task[:3], order.run)
    for worker in simulation.workers.values():
        for run in worker.running.values():
            if run.gang == gang and run.start_checkpoint != order.saved:
                simulation.violations.append(
                    f"{task} resumes from {order.saved}, another member of the"
                    f" gang from {run.start_checkpoint}"
                )
