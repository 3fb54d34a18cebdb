"""The replicated state as an entry sees it.

The follower task publishes a new immutable view after each batch of changes;
request handlers only read it. Keys that were verified once are remembered with
the key table that they were verified against.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import keys
from bambookeel.state import model

# Verified keys that one view remembers; past it the oldest is dropped.
MAX_VERIFIED_KEYS = 4_096
# Longer secrets open nothing and are not remembered.
_MAX_SECRET_CHARS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Resources up to one version.

    Attributes:
        version: The state version; it only grows.
        by_key: Resources by kind and name.
        team_by_secret: Teams of the secrets verified so far against the keys of
            this view; views that hold equal keys share it.
    """

    version: ids.StateVersion = ids.StateVersion(0)
    by_key: Mapping[model.ResourceKey, resources.Resource] = dataclasses.field(
        default_factory=dict
    )
    team_by_secret: dict[str, ids.TeamName] = dataclasses.field(
        default_factory=dict, compare=False, repr=False
    )


def apply_changes(
    view: View,
    to_version: ids.StateVersion,
    changes: Iterable[
        tuple[ids.StateVersion, tuple[model.StoredResource, ...]]
    ],
) -> View:
    """Applies changes in order; older versions change nothing.

    Args:
        view: The view before.
        to_version: The version after all changes.
        changes: Versions, each with the resources that it changed.

    Returns:
        The view after.
    """
    if to_version <= view.version:
        return view
    current = dict(view.by_key)
    team_by_secret = view.team_by_secret
    for version, changed in changes:
        if version <= view.version:
            continue
        for stored in changed:
            key = (stored.kind, stored.name)
            if stored.kind is resources.Kind.KEY:
                # What was verified against other keys proves nothing now.
                team_by_secret = {}
            if stored.spec is None:
                current.pop(key, None)
                continue
            current[key] = model.from_stored(stored)
    return View(to_version, current, team_by_secret)


def build_view(
    version: ids.StateVersion, stored_resources: Iterable[model.StoredResource]
) -> View:
    """Builds a view from a whole snapshot.

    Args:
        version: The snapshot's version.
        stored_resources: All its resources.

    Returns:
        The view.
    """
    current = {}
    for stored in stored_resources:
        key = (stored.kind, stored.name)
        current[key] = model.from_stored(stored)
    return View(version, current)


def find_team(view: View, secret: str) -> ids.TeamName | None:
    """Finds the team that a key speaks for.

    Args:
        view: The view.
        secret: The key as the caller showed it.

    Returns:
        The team, or None when the key opens nothing.
    """
    cached_team = view.team_by_secret.get(secret)
    if cached_team is not None:
        return cached_team
    if len(secret) > _MAX_SECRET_CHARS:
        return None
    key_id = keys.split_key_id(secret)
    resource = view.by_key.get((resources.Kind.KEY, key_id))
    if resource is None or not isinstance(resource.spec, resources.KeySpec):
        return None
    if not resource.spec.team or not keys.verify_secret(resource.spec, secret):
        return None
    team = ids.TeamName(resource.spec.team)
    view.team_by_secret[secret] = team
    if len(view.team_by_secret) > MAX_VERIFIED_KEYS:
        del view.team_by_secret[next(iter(view.team_by_secret))]
    return team


def get_service(
    view: View, service: ids.ServiceName
) -> resources.ServiceSpec | None:
    """Looks up a service.

    Args:
        view: The view.
        service: Its name.

    Returns:
        Its spec, or None.
    """
    resource = view.by_key.get((resources.Kind.SERVICE, service))
    if resource is None:
        return None
    spec = resource.spec
    return spec if isinstance(spec, resources.ServiceSpec) else None


def get_dispatcher(
    view: View, service: ids.ServiceName
) -> resources.DispatcherSpec | None:
    """Looks up who holds a service's dispatch lease.

    Args:
        view: The view.
        service: The service's name.

    Returns:
        The holder and epoch, or None before the first assignment.
    """
    resource = view.by_key.get((resources.Kind.DISPATCHER, service))
    if resource is None:
        return None
    spec = resource.spec
    return spec if isinstance(spec, resources.DispatcherSpec) else None
