"""The promises of jobs, checked at each start of a run."""


def check_start(world, worker, order, step):
    """Checks the promises at a start."""
    task = order.task
    check_saved(world, order, step)
    if task in world.noted:
        world.broken.append(f"{task} starts after its end was noted")
    for other in world.workers.values():
        if other.is_up and task in other.running:
            if not step.allows_copies:
                world.broken.append(f"{task} runs twice")
    for earlier in step.after:
        before = world.specs[task.job].steps[earlier]
        ended = {
            ref.task_index
            for ref, _, _, _ in world.done
            if ref[:3] == (task.job, task.occurrence, earlier)
        }
        if len(ended) < (1 if before.is_gang else before.count):
            world.broken.append(f"{task} starts before step {earlier} ended")
    used = step.reserved
    for run in worker.running.values():
        used += world.specs[run.task.job].steps[run.task.step].reserved
    if not used.fits_in(worker.capacity):
        world.broken.append(f"{worker.name} is over its capacity")
    most = step.max_per_instance
    if most:
        same = sum(
            (r.task.job, r.task.occurrence, r.task.step)
            == (task.job, task.occurrence, task.step)
            for r in worker.running.values()
        )
        if same >= most:
            world.broken.append(f"{task} is not apart on {worker.name}")
    if world.cap_milli:
        check_cap(world, task)


def check_cap(world, task):
    """Checks a team's cap over all workers that are up."""
    team = world.scheduler.book.jobs[task.job].team
    total = world.specs[task.job].steps[task.step].needs.cpu_milli
    largest = total
    for worker in world.workers.values():
        if not worker.is_up:
            continue
        for run in worker.running.values():
            job = world.scheduler.book.jobs[run.task.job]
            if job.team == team:
                needs = world.specs[run.task.job].steps[run.task.step].needs
                total += needs.cpu_milli
    if total > world.cap_milli + largest:
        world.broken.append(f"{team} has {total} of {world.cap_milli}")


def check_saved(world, order, step):
    """Checks that a start goes on from a value of its own task or gang."""
    task = order.task
    world.carried.append(order.saved)
    owner = task[:3] if step.is_gang else task
    own = ".".join(str(part) for part in owner) + "#"
    if order.saved and not order.saved.startswith(own):
        world.broken.append(f"{task} goes on from {order.saved}")
    gang = (*task[:3], order.run)
    for worker in world.workers.values():
        for run in worker.running.values():
            if run.gang == gang and run.carried != order.saved:
                world.broken.append(
                    f"{task} goes on from {order.saved}, beside {run.carried}"
                )
