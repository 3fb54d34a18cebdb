"""Runs seeds of the random check of the job interface, and shrinks findings."""

import dataclasses

from features.fakes import interface_actions
from features.fakes import interface_reach
from features.fakes import interface_run
from features.fakes import jobs_simulation

# After the last action, jobs have this time and this many times their longest
# chain of tasks to end.
_SETTLE_MS = 45_000
_CHAIN_FACTOR = 6
_SETTLE_STEP_MS = 100
# For this time it is watched at least.
_MIN_SETTLE_MS = 5_000
# Time steps are as long as reports are apart while only long tasks are left.
_LONG_SETTLE_MS = 20_000
_LONG_STEP_MS = 200
_ASK_MS = 1_000
_MAX_TRIALS = 150


@dataclasses.dataclass
class Outcome:
    """What one run has found, reached and traced."""

    findings: list
    reached: dict
    trace: list


def run(seed, actions):
    """Runs the actions of a seed, then lets all jobs end.

    Args:
        seed: Seed of the workers' run times and of lost reports.
        actions: The actions, in order of their times.
    """
    simulation = interface_run.InterfaceSimulation(seed)
    start_ms = simulation.now_ms
    for action in actions:
        while simulation.now_ms - start_ms < action.at_ms:
            simulation.advance(jobs_simulation.STEP_MS)
        interface_actions.carry_out(simulation, action)
    while simulation.now_ms - start_ms < interface_run.SPAN_MS:
        simulation.advance(jobs_simulation.STEP_MS)
    _settle(simulation)
    return Outcome(
        simulation.oracle.findings, simulation.reached, simulation.trace
    )


def _settle(simulation):
    simulation.stop_disturbances()
    simulation.site.restore()
    interface_actions.put(simulation, "all is back")
    chains = [
        sum(step.estimate_ms for step in known.spec.steps)
        for known in simulation.oracle.jobs.values()
        if known.cancel_sent_ms is None
    ]
    settle_ms = _SETTLE_MS + _CHAIN_FACTOR * max(chains, default=0)
    until_ms = simulation.now_ms + settle_ms
    ask_at_ms = simulation.now_ms
    earliest_ms = simulation.now_ms + _MIN_SETTLE_MS
    long_from_ms = simulation.now_ms + _LONG_SETTLE_MS
    while simulation.now_ms < until_ms:
        is_long = simulation.now_ms >= long_from_ms
        simulation.now_ms += _LONG_STEP_MS if is_long else _SETTLE_STEP_MS
        simulation.step()
        if simulation.now_ms < ask_at_ms:
            continue
        ask_at_ms = simulation.now_ms + _ASK_MS
        for known in simulation.oracle.jobs.values():
            if known.accepted_ms is not None and known.ended is None:
                key = interface_reach.find_key(simulation, known)
                interface_actions.ask_at_queue(simulation, known, key)
        is_over = simulation.now_ms >= earliest_ms
        for number in simulation.provider.waves:
            is_over &= interface_actions.ask_wave(simulation, number)
        if is_over and not simulation.oracle.list_unended():
            break
    simulation.oracle.check_end()
    simulation.provider.check_end()
    for known in simulation.oracle.jobs.values():
        if known.accepted_ms is not None:
            key = interface_reach.find_key(simulation, known)
            interface_actions.ask_at_queue(simulation, known, key)
    interface_actions.count_all(simulation)


def run_seed(seed):
    """Runs a seed with the actions that it gives."""
    return run(seed, interface_run.draw_actions(seed))


def shrink(seed, actions, rule):
    """Leaves out actions as long as the same rule is broken.

    Args:
        seed: Seed of the run.
        actions: Actions with which a rule is broken.
        rule: Name of the rule.

    Returns:
        Fewer actions, which still break it.
    """
    trials = 0
    size = max(1, len(actions) // 2)
    while size and trials < _MAX_TRIALS:
        position = 0
        while position < len(actions) and trials < _MAX_TRIALS:
            fewer = actions[:position] + actions[position + size :]
            trials += 1
            if any(f[0] == rule for f in run(seed, fewer).findings):
                actions = fewer
            else:
                position += size
        size //= 2
    return actions


def format_trace(outcome, rule):
    """Formats the trace of the first job that breaks a rule.

    Args:
        outcome: The run.
        rule: Name of the rule.

    Returns:
        Lines about that job and about what concerns all.
    """
    job = next(job for name, job, _ in outcome.findings if name == rule)
    lines = []
    for at_ms, subject, text in outcome.trace:
        if subject in ("", job):
            line = f"{at_ms - 1_000_000:7} {subject[-4:]:4} {text}"
            if not lines or lines[-1][8:] != line[8:]:
                lines.append(line)
    return lines
