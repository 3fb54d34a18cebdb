"""Applies commands without a log, for features that need a series of states."""

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import apply
from bambookeel.state import commands


def commit_team(state, name, limit):
    """Sets a team's limit in the next version of a state."""
    change = commands.PutSpec(
        resources.Kind.TEAM, name, commands.ANY_VERSION, {"upper_limit": limit}
    )
    version = ids.StateVersion(state.version + 1)
    command = commands.Command(
        ids.CommandId(f"c-{version}"), "test", (commands.wrap_change(change),)
    )
    return apply.apply_command(state, version, command)
