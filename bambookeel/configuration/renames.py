"""Finds the queues and teams that a new configuration has renamed.

Callers know a queue by its host and path and identify a team by a key; neither
contains the name. Jobs that were submitted under the earlier name must stay
reachable.
"""

from collections.abc import Mapping

import msgspec

from bambookeel.configuration import document as configuration


def replace_configuration(
    former_queues: dict[str, configuration.Queue],
    former_teams: dict[str, configuration.Team],
    before: configuration.View,
    view: configuration.View,
) -> tuple[dict[str, str], dict[str, str]]:
    """Adds a replaced configuration to the former ones, and finds the renames.

    Args:
        former_queues: Queues of earlier configurations, by name; changed.
        former_teams: Teams of earlier configurations, by name; changed.
        before: The configuration that is replaced.
        view: The new configuration.

    Returns:
        New names of the renamed queues and of the renamed teams, by their
        earlier names.
    """
    former_queues.update(before.queues)
    former_teams.update(before.teams)
    queues = find_renamed_queues(former_queues, view)
    for name, queue in find_displaced_queues(
        former_queues, before, view
    ).items():
        queues[name] = queue.name
        former_queues[queue.name] = queue
    teams = find_renamed_teams(former_teams, view)
    for name, team in find_displaced_teams(former_teams, before, view).items():
        teams[name] = team.name
        former_teams[team.name] = team
    return queues, teams


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


def find_displaced_queues(
    known: Mapping[str, configuration.Queue],
    before: configuration.View,
    view: configuration.View,
) -> dict[str, configuration.Queue]:
    """Finds the queues without a place whose name another queue has taken.

    A queue that keeps its name at a new place has moved. If another queue was
    at that place before, it is that one under a new name.

    Args:
        known: All queues so far, by name.
        before: The configuration before the new one.
        view: The new configuration.

    Returns:
        The displaced queues under unused names, by their earlier names.
    """
    places = {(queue.host, queue.path_prefix) for queue in view.queues.values()}
    names_before = {
        (queue.host, queue.path_prefix): name
        for name, queue in before.queues.items()
    }
    displaced = {}
    for name, queue in known.items():
        taker = view.queues.get(name)
        if taker is None or (queue.host, queue.path_prefix) in places:
            continue
        place = (taker.host, taker.path_prefix)
        if names_before.get(place, name) == name:
            continue
        unused = f"{name} at {queue.host}{queue.path_prefix}"
        while unused in view.queues or unused in known:
            unused += "'"
        displaced[name] = msgspec.structs.replace(queue, name=unused)
    return displaced


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


def find_displaced_teams(
    known: Mapping[str, configuration.Team],
    before: configuration.View,
    view: configuration.View,
) -> dict[str, configuration.Team]:
    """Finds the teams without keys whose name another team has taken.

    A team that keeps its name has got other keys. If one of these was that of
    another team before, it is that one under a new name.

    Args:
        known: All teams so far, by name.
        before: The configuration before the new one.
        view: The new configuration.

    Returns:
        The displaced teams under unused names, by their earlier names.
    """
    displaced = {}
    for name, team in known.items():
        taker = view.teams.get(name)
        if taker is None or any(view.find_team(key) for key in team.keys):
            continue
        owners = [before.find_team(key) for key in taker.keys]
        if all(owner is None or owner.name == name for owner in owners):
            continue
        unused = f"{name}, former"
        while unused in view.teams or unused in known:
            unused += "'"
        displaced[name] = msgspec.structs.replace(team, name=unused)
    return displaced
