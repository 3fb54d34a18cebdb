"""The actions of callers, operators and faults in the check of interfaces."""

import random

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import interface_jobs
from features.fakes import interface_oracle
from features.fakes import interface_provider
from features.fakes import interface_reach
from features.fakes import interface_site

_DOWN_MS = (300, 1_500, 4_000)
_MAX_STANDING = 3


def carry_out(simulation, action):
    """Carries out one action.

    Args:
        simulation: The simulation.
        action: What happens, with the number that gives its details.
    """
    source = random.Random(action.number)
    simulation.reached[action.kind] += 1
    _ACTIONS[action.kind](simulation, source)


def _submit(simulation, source):
    site = simulation.site
    routes = [route for route in site.routes if route.path]
    accounts = [
        number
        for number, account in enumerate(site.accounts)
        if account.is_present
    ]
    if not routes or not accounts:
        return
    route = source.choice(routes)
    shape = interface_jobs.draw_shape(source)
    standing = sum(
        k.shape == "standing" for k in simulation.oracle.jobs.values()
    )
    if shape == "standing" and standing >= _MAX_STANDING:
        shape = "plain"
    spec = interface_jobs.draw_spec(
        source, shape, simulation.read_now().wall_ms
    )
    job = f"{len(simulation.oracle.jobs):016x}"
    known = interface_oracle.Known(
        job,
        route.path,
        site.routes.index(route),
        source.choice(accounts),
        spec,
        shape,
        simulation.now_ms,
    )
    simulation.oracle.jobs[job] = known
    simulation.specs[job] = spec
    simulation.reached[f"shape {shape}"] += 1
    simulation.note(job, f"{shape} job at {route.path} of {known.account}")
    key = source.choice(site.accounts[known.account].keys)
    _send(simulation, known, route.path, key)


def _send(simulation, known, path, key):
    if known.accepted_ms is None:
        known.entry, known.key = path, key
    answer = simulation.call(
        calls.SubmitJob(
            interface_site.HOST,
            path + known.job,
            key,
            known.job,
            known.spec,
        )
    )
    simulation.note(known.job, f"submitted with {key}: {answer}")
    simulation.oracle.check_submitted(known, answer)


def _repeat(simulation, source):
    known, _ = interface_reach.choose_job(simulation, source)
    if known is not None and known.may_be_accepted:
        path = source.choice(interface_reach.list_paths(simulation, known))
        key = source.choice(interface_reach.list_keys(simulation, known))
        if known.accepted_ms is None:
            # Elsewhere it would become a job of the queue or team that has the
            # place or the key now.
            path = interface_reach.find_path(simulation, known)
            key = interface_reach.find_key(simulation, known)
        _send(simulation, known, path, key)


def ask(simulation, known, key, path):
    """Asks for the state of a job and has the answer judged."""
    answer = simulation.call(
        calls.AskJob(interface_site.HOST, path + known.job, key, known.job)
    )
    simulation.note(known.job, f"asked at {path} with {key}: {answer}")
    simulation.oracle.check_state(known, answer)


def ask_at_queue(simulation, known, key):
    """Asks for the state of a job where its queue is now."""
    ask(simulation, known, key, interface_reach.find_path(simulation, known))


def _ask(simulation, source):
    known, _ = interface_reach.choose_job(simulation, source)
    if known is not None:
        path = source.choice(interface_reach.list_paths(simulation, known))
        key = source.choice(interface_reach.list_keys(simulation, known))
        ask(simulation, known, key, path)


def _cancel(simulation, source):
    known, key = interface_reach.choose_job(simulation, source)
    if known is None:
        return
    known.cancel_sent_ms = known.cancel_sent_ms or simulation.now_ms
    answer = simulation.call(
        calls.CancelJob(
            interface_site.HOST,
            interface_reach.find_path(simulation, known) + known.job,
            key,
            known.job,
        )
    )
    simulation.note(known.job, f"cancelled with {key}: {answer}")
    simulation.oracle.check_cancelled(known, answer)


def _call_as_other_team(simulation, source):
    """Asks, cancels or counts with the key of another team, or none's."""
    known, _ = interface_reach.choose_job(simulation, source)
    if known is None:
        return
    site = simulation.site
    keys = [
        account.keys[0]
        for number, account in enumerate(site.accounts)
        if number != known.account and account.is_present
    ]
    gone = sorted(site.withdrawn)
    key = source.choice(keys + gone + ["never"])
    kind = source.choice([calls.AskJob, calls.CancelJob])
    path = interface_reach.find_path(simulation, known) + known.job
    answer = simulation.call(kind(interface_site.HOST, path, key, known.job))
    simulation.note(known.job, f"{kind.__name__} with {key}: {answer}")
    expected = calls.NoSuchJob() if key in keys else calls.BadKey()
    if answer is not None and answer != expected:
        simulation.oracle.add("CONFIG", known.job, f"{key} got {answer}")


def _ask_other_queue(simulation, source):
    """Asks for a job at the place of another queue."""
    known, key = interface_reach.choose_job(simulation, source)
    if known is None:
        return
    own = {interface_reach.find_path(simulation, known), known.entry, ""}
    paths = sorted({route.path for route in simulation.site.routes} - own)
    if not paths:
        return
    path = source.choice(paths)
    answer = simulation.call(
        calls.AskJob(interface_site.HOST, path + known.job, key, known.job)
    )
    simulation.note(known.job, f"asked at {path} with {key}: {answer}")
    if answer is not None and answer != calls.NoSuchJob():
        simulation.oracle.add("CONFIG", known.job, f"at {path}: {answer}")


def _count(simulation, source):
    paths = [r.path for r in simulation.site.routes if r.path]
    keys = [a.keys[0] for a in simulation.site.accounts if a.is_present]
    if not paths or not keys:
        return
    _count_at(simulation, source.choice(paths), source.choice(keys))


def _count_at(simulation, path, key):
    call = calls.CountJobs(interface_site.HOST, path, key)
    answer = simulation.call(call)
    simulation.note("", f"counted {path}: {answer}")
    simulation.oracle.check_count(path, answer)


def count_all(simulation):
    """Counts the pending jobs of each queue and has the answers judged."""
    for route in simulation.site.routes:
        if route.path:
            _count_at(
                simulation, route.path, simulation.site.accounts[0].keys[0]
            )


def _configure(simulation, source):
    change = simulation.site.change(source)
    simulation.reached[change.partition(":")[0]] += 1
    put(simulation, change)


def _change_identity(simulation, source):
    change = simulation.site.change_identity(source)
    simulation.reached[change.partition(":")[0]] += 1
    put(simulation, change)


def put(simulation, change):
    """Puts the present configuration in force, again until it is accepted."""
    document = simulation.build_document()
    simulation.note("", f"version {document.version}: {change}")
    answer = simulation.put_document(document)
    while answer is None:
        answer = simulation.put_document(document)
    if answer != calls.Done():
        simulation.oracle.add("CONFIG", "", f"refused: {answer}")


def _choose_worker(simulation, source):
    return simulation.workers[source.choice(sorted(simulation.workers))]


def _crash(simulation, source):
    worker = _choose_worker(simulation, source)
    simulation.crash_worker(worker.name, source.choice(_DOWN_MS))


def _crash_in_series(simulation, source):
    gap_ms = source.choice([100, 600])
    names = source.sample(sorted(simulation.workers), 4)
    for number, name in enumerate(names):
        at_ms = simulation.now_ms + number * gap_ms
        simulation.crash_series.append((at_ms, name))


def _crash_rack(simulation, source):
    rack = f"r{source.randrange(interface_jobs.RACKS)}"
    down_ms = source.choice(_DOWN_MS)
    for worker in list(simulation.workers.values()):
        if rack in worker.labels:
            simulation.crash_worker(worker.name, down_ms)


def _cut(simulation, source):
    """Cuts one worker, or all of a rack, off from the leader."""
    rack = f"r{source.randrange(interface_jobs.RACKS)}"
    chosen = [_choose_worker(simulation, source)]
    if source.random() < 0.3:
        chosen = [w for w in simulation.workers.values() if rack in w.labels]
    until_ms = simulation.now_ms + source.choice([600, 2_000, 6_000])
    for worker in chosen:
        if worker.is_up:
            simulation.note("", f"{worker.name} is cut off until {until_ms}")
            worker.is_cut_off = True
            simulation.healed_at_ms[worker.name] = until_ms


def _turn_grey(simulation, source):
    """Lets workers hang or fail all runs, at best those of a gang."""
    hangs = source.random() < 0.5
    until_ms = simulation.now_ms + source.choice([1_000, 4_000])
    names = source.sample(sorted(simulation.workers), source.choice([1, 2]))
    gangs = {
        worker.name
        for worker in simulation.workers.values()
        if any(run.gang for run in worker.running.values())
    }
    for name in sorted(gangs) or names:
        worker = simulation.workers[name]
        simulation.note("", f"{name} {'hangs' if hangs else 'fails'} all")
        worker.stalls_runs = hangs
        worker.fails_runs = not hangs
        for run in () if hangs else worker.running.values():
            run.how = specs.RunEnd.FAILED
        simulation.healed_at_ms[name] = until_ms


def _lose_orders(simulation, source):
    until_ms = simulation.now_ms + source.choice([400, 1_500, 6_000])
    names = sorted(simulation.workers)
    if source.random() < 0.6:
        names = source.sample(names, 2)
    simulation.note("", f"no orders to {','.join(names)} until {until_ms}")
    for name in names:
        simulation.deaf[name] = until_ms


def _make_noise(simulation, source):
    """Loses, delays and doubles reports for a while."""
    simulation.faults = True
    simulation.quiet_at_ms = simulation.now_ms + source.choice([1_000, 4_000])
    simulation.note("", f"noise until {simulation.quiet_at_ms}")


def _start_leader(simulation, source):
    del source
    simulation.note("", "a new leader")
    simulation.start_leader()


def _lose_batch(simulation, source):
    simulation.next_batch = source.choice(["lost", "kept"])


def _take_snapshot(simulation, source):
    simulation.take_snapshot()
    if source.random() < 0.5:
        simulation.note("", "a new leader from a snapshot")
        simulation.start_leader()


def _hunt(simulation, source):
    simulation.hunt.is_armed = True
    simulation.hunt.delay_ms = source.choice([100, 300, 700])


def _start_wave(simulation, source):
    waves = simulation.provider.waves
    number = len(waves) + 1
    taken = {name for wave in waves.values() for name in wave.machines}
    free = [
        f"m-{n}" for n in sorted(simulation.workers) if f"m-{n}" not in taken
    ]
    if not free:
        return
    machines = tuple(source.sample(free, min(len(free), 3)))
    cap = source.choice([1, 1, 2])
    waves[number] = interface_provider.Wave(machines, cap)
    duration_ms = source.choice([3_000, 20_000])
    call = calls.StartWave(number, machines, duration_ms, cap)
    simulation.note("", f"{call}")
    while simulation.call(call) is None:
        simulation.note("", f"wave {number} again")


def ask_wave(simulation, number):
    """Asks whether a wave is complete and has the answer judged."""
    answer = simulation.call(calls.AskWave(number))
    if isinstance(answer, calls.WaveIs):
        simulation.provider.check_wave(number, answer.is_complete)
        return answer.is_complete
    return False


def _ask_wave(simulation, source):
    if simulation.provider.waves:
        ask_wave(simulation, source.choice(sorted(simulation.provider.waves)))


def _disturb_provider(simulation, source):
    until_ms = simulation.now_ms + source.choice([1_000, 5_000])
    kind = source.choice(["silent", "slow"])
    simulation.note("", f"the provider is {kind} until {until_ms}")
    setattr(simulation.provider, f"{kind}_until_ms", until_ms)


_ACTIONS = {
    "submit": _submit,
    "configure": _configure,
    "identity": _change_identity,
    "other_queue": _ask_other_queue,
    "ask": _ask,
    "repeat": _repeat,
    "count": _count,
    "cancel": _cancel,
    "other_team": _call_as_other_team,
    "crash": _crash,
    "series": _crash_in_series,
    "rack": _crash_rack,
    "cut": _cut,
    "grey": _turn_grey,
    "lose_orders": _lose_orders,
    "noise": _make_noise,
    "leader": _start_leader,
    "lose_batch": _lose_batch,
    "snapshot": _take_snapshot,
    "hunt": _hunt,
    "wave": _start_wave,
    "ask_wave": _ask_wave,
    "provider": _disturb_provider,
}
