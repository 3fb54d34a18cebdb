"""Random simulations of jobs."""

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_advisor
from features.fakes import jobs_simulation


def make_spec(random_source, is_standing=False, has_copies=False):
    """Builds a random job of one to three steps, or a standing one of one."""
    steps = []
    for i in range(1 if is_standing else random_source.randrange(1, 4)):
        is_gang = not is_standing and random_source.random() < 0.15
        steps.append(
            specs.StepSpec(
                count=random_source.randrange(1, 6),
                needs=specs.Resources(
                    random_source.randrange(
                        500, 2_000 if is_gang or is_standing else 6_000
                    ),
                    random_source.randrange(100, 8_000),
                    0,
                ),
                estimate_ms=random_source.randrange(200, 2_000),
                after=(i - 1,) if i else (),
                checkpoints=random_source.random() < 0.5,
                max_per_instance=random_source.choice([0, 0, 2]),
                is_standing=is_standing,
                is_gang=is_gang,
                allows_copies=has_copies
                and not (is_gang or is_standing)
                and random_source.random() < 0.5,
            )
        )
    return specs.JobSpec("body", tuple(steps))


def simulate(
    seed, cap_milli=0, span_ms=20_000, has_advisor=False, has_copies=False
):
    """Runs a random simulation and returns the violations of guarantees."""
    workers = 8 if has_advisor else 4
    simulation = jobs_simulation.JobsSimulation(seed, workers, cap_milli)
    if has_advisor:
        simulation.advisor = jobs_advisor.FakeAdvisor(simulation, share=0.7)
        simulation.put_document(simulation.build_document(version=2))
    simulation.failure_rate = simulation.random.choice([0.0, 0.02])
    jobs = {}
    cancelled = set()
    for number in range(20):
        job = f"{number:016x}"
        key = simulation.random.choice(["key-coach", "key-school"])
        spec = make_spec(simulation.random, number in (3, 7), has_copies)
        answer = simulation.submit(job, spec, key)
        if isinstance(answer, calls.Done):
            jobs[job] = key
        simulation.advance(span_ms // 20)
        if jobs and simulation.random.random() < 0.15:
            chosen = simulation.random.choice(list(jobs))
            if isinstance(simulation.cancel(chosen, jobs[chosen]), calls.Done):
                cancelled.add(chosen)
    simulation.stop_faults()
    simulation.advance(40_000)
    check_ends(simulation, jobs, cancelled)
    return simulation.violations


def check_ends(simulation, jobs, cancelled):
    """Checks how the jobs of a simulation have ended."""
    for job, key in jobs.items():
        answer = simulation.ask(job, key)
        standing = simulation.specs[job].steps[0].is_standing
        if job in cancelled:
            continue
        if standing:
            count = simulation.specs[job].steps[0].count
            running = sum(
                task.job == job
                for worker in simulation.workers.values()
                for task in worker.running
            )
            if running != count:
                simulation.violations.append(
                    f"{job} runs {running} of {count} standing tasks"
                )
            continue
        ended = (specs.JobState.COMPLETED, specs.JobState.FAILED)
        if not isinstance(answer, calls.JobIs) or answer.state not in ended:
            simulation.violations.append(f"{job} has not ended: {answer}")
    for job in cancelled:
        for worker in simulation.workers.values():
            if any(task.job == job for task in worker.running):
                simulation.violations.append(
                    f"{job} still runs after it was cancelled"
                )
