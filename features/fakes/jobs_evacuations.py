"""Simulates evacuations of data centres under faults."""

import msgspec

from bambookeel.jobs import calls
from features.fakes import jobs_provider
from features.fakes import jobs_runs
from features.fakes import jobs_simulation

DATA_CENTRES = ("north", "south", "west")
_WORKERS = 9
_JOBS = 24
# Numbers of the jobs after which a wave of all instances is requested.
_WAVE_AT = (5, 15)


def place_workers(simulation, data_centres=DATA_CENTRES):
    """Distributes the workers of a simulation among data centres."""
    for i, worker in enumerate(simulation.workers.values()):
        worker.data_centre = data_centres[i % len(data_centres)]


def change(simulation, data_centre, is_begin):
    """Begins or ends an evacuation, again until there is an answer."""
    kind = calls.BeginEvacuation if is_begin else calls.EndEvacuation
    if not is_begin:
        # Tasks may start as soon as the order is in the book.
        simulation.evacuated.discard(data_centre)
    while True:
        answer = simulation.call(kind(data_centre))
        if answer is not None:
            break
    if is_begin and isinstance(answer, calls.Done):
        simulation.evacuated.add(data_centre)
    return answer


def _make_spec(source, number):
    spec = jobs_runs.make_spec(source, is_standing=number in (3, 7))
    if number not in (3, 7):
        return spec
    step = msgspec.structs.replace(
        spec.steps[0], max_missing=source.randrange(0, 3)
    )
    return msgspec.structs.replace(spec, steps=(step,))


def simulate(seed, has_waves, faults):
    """Runs a random simulation and returns the violations of guarantees.

    Evacuations begin and end beside changes of leader, and as asked beside
    waves of upkeep, crashes and cut links. Without these, no gang may wait for
    members that cannot start.
    """
    simulation = jobs_simulation.JobsSimulation(
        seed, workers=_WORKERS, faults=faults
    )
    place_workers(simulation)
    provider = jobs_provider.FakeProvider(simulation)
    source = simulation.random
    jobs = {}
    for number in range(_JOBS):
        job = f"{number:016x}"
        answer = simulation.submit(job, _make_spec(source, number))
        if isinstance(answer, calls.Done):
            jobs[job] = "key-coach"
        # Runs have been assigned, and some of them have not been delivered.
        if source.random() < 0.6:
            simulation.advance(source.choice((0, 25, 50, 100)))
            change(
                simulation,
                source.choice(DATA_CENTRES[:2]),
                source.random() < 0.6,
            )
        if not faults and source.random() < 0.2:
            simulation.start_leader()
            provider.discard_answers()
        if has_waves and number in _WAVE_AT:
            names = tuple(f"m-{name}" for name in simulation.workers)
            while not simulation.call(calls.StartWave(number, names, 9_000, 2)):
                pass
        provider.advance(1_000)
    simulation.stop_faults()
    for data_centre in DATA_CENTRES:
        change(simulation, data_centre, False)
    provider.advance(40_000)
    jobs_runs.check_ends(simulation, jobs, set())
    if not (has_waves or faults) and simulation.alone_gangs:
        simulation.violations.append(
            f"members of {simulation.alone_gangs} waited in vain"
        )
    return simulation.violations
