"""Measures the CPU time of one change of the state at three sizes.

The largest size is the one that deployments are expected to reach: 1,200
instances, 91 pools and 230 teams with their keys. The bound is the time at the
smallest size, since the cost should not grow with the number of resources.
"""

import dataclasses
import time

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from bench import lines

# Instances, pools and teams.
_SIZES = ((120, 9, 23), (600, 45, 115), (1_200, 91, 230))
_CHANGES = 2_000


def _put(kind, name, spec):
    return commands.wrap_change(
        commands.PutSpec(kind, name, commands.ANY_VERSION, spec)
    )


def _build_state(instances, pools, teams):
    kind = resources.Kind
    changes = []
    for i in range(pools):
        changes.append(_put(kind.POOL, f"pool-{i}", {"wanted_size": 13}))
    for i in range(teams):
        changes.append(_put(kind.TEAM, f"team-{i}", {"upper_limit": 50}))
        key = {"team": f"team-{i}", "salt_hex": "00", "hash_hex": "00"}
        changes.append(_put(kind.KEY, f"key-{i}", key))
    for i in range(instances):
        spec = {
            "pool": f"pool-{i % pools}",
            "data_centre": "tamworth",
            "rack": f"rack-{i // 4}",
        }
        changes.append(_put(kind.INSTANCE, f"instance-{i}", spec))
    command = commands.Command(ids.CommandId("all"), "bench", tuple(changes))
    applied = apply.apply_command(model.State(), ids.StateVersion(1), command)
    assert applied.outcome.code is commands.OutcomeCode.APPLIED
    return _fill_outcomes(applied)


def _fill_outcomes(applied):
    """Fills the state with the maximum number of outcomes, as in a long run."""
    outcomes = {}
    for i in range(apply.MAX_OUTCOMES):
        version = ids.StateVersion(i + 1)
        outcomes[ids.CommandId(f"old-{i}")] = dataclasses.replace(
            applied.outcome, version=version
        )
    version = ids.StateVersion(apply.MAX_OUTCOMES)
    return model.State(version, applied.state.by_key, outcomes)


def _time_changes(state, teams):
    """Applies changes of team limits; returns the CPU time per change in µs."""
    started_s = time.process_time()
    for i in range(_CHANGES):
        change = _put(
            resources.Kind.TEAM, f"team-{i % teams}", {"upper_limit": i}
        )
        command = commands.Command(ids.CommandId(f"c-{i}"), "bench", (change,))
        version = ids.StateVersion(state.version + 1)
        state = apply.apply_command(state, version, command).state
    return (time.process_time() - started_s) / _CHANGES * 1e6


def measure():
    """Measures a change at each size.

    Returns:
        Result lines.
    """
    found = []
    smallest_us = None
    for instances, pools, teams in _SIZES:
        state = _build_state(instances, pools, teams)
        change_us = _time_changes(state, teams)
        smallest_us = smallest_us or change_us
        found.append(
            lines.render_line(
                "state",
                "change_cpu_us",
                change_us,
                bound=smallest_us,
                resources=len(state.by_key),
                instances=instances,
            )
        )
    return found
