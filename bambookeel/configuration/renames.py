"""Finds the queues and teams that a new configuration has renamed.

Callers know a queue by its host and path and identify a team by a key; neither
contains the name. Jobs that were submitted under the earlier name must stay
reachable.
"""

from collections.abc import Mapping

from bambookeel.configuration import document as configuration


def find_renamed_queues(
    known: Mapping[str, configuration.Queue], view: configuration.View
) -> dict[str, str]:
    """Finds the queues whose place has a queue of another name.

    Args:
        known: All queues so far, by name.
        view: The new configuration.

    Returns:
        New name of each renamed queue, by its earlier name.
    """
    names = {
        (queue.host, queue.path_prefix): name
        for name, queue in view.queues.items()
    }
    renamed = {}
    for name, queue in known.items():
        later = names.get((queue.host, queue.path_prefix), name)
        if later != name:
            renamed[name] = later
    return renamed


def find_renamed_teams(
    known: Mapping[str, configuration.Team], view: configuration.View
) -> dict[str, str]:
    """Finds the teams whose keys belong to a team of another name.

    A team keeps its name while it keeps a key, or if no team has its keys.

    Args:
        known: All teams so far, by name.
        view: The new configuration.

    Returns:
        New name of each renamed team, by its earlier name.
    """
    renamed = {}
    for name, team in known.items():
        found = (view.find_team(key) for key in team.keys)
        holders = [holder.name for holder in found if holder is not None]
        if holders and name not in holders:
            renamed[name] = holders[0]
    return renamed
