"""An entry's view of the replicated state.

The follower task publishes a new view after it has applied changes; request
handlers only read it. The resources of a view never change. A view also caches
the secrets that have been verified against its keys.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import keys
from bambookeel.state import model

# Verified secrets that a view caches; beyond this the oldest is dropped.
MAX_CACHED_SECRETS = 4_096
# Longer secrets match no key and are rejected without a check.
_MAX_SECRET_CHARS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """All resources at one version of the state.

    Attributes:
        version: The state version; it never decreases.
        by_key: Resources by kind and name.
        team_by_secret: Teams of the secrets that have been verified against the
            keys of this view. A view and its successor share this cache unless
            a key has changed.
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
    """Applies changes in order and skips versions that the view contains.

    Args:
        view: The view before the changes; it is not modified.
        to_version: The version after all changes.
        changes: Versions, each with the resources that it changed.

    Returns:
        The view after the changes; the same view if it is at `to_version` or
        later.
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
                # Verifications against the previous keys are no longer valid.
                team_by_secret = {}
            if stored.spec is None:
                current.pop(key, None)
                continue
            current[key] = model.from_stored(stored)
    return View(to_version, current, team_by_secret)


def build_view(
    version: ids.StateVersion, stored_resources: Iterable[model.StoredResource]
) -> View:
    """Builds a view from a complete snapshot.

    Args:
        version: The snapshot's version.
        stored_resources: All resources of the snapshot.

    Returns:
        A view with an empty cache of verified secrets.
    """
    current = {}
    for stored in stored_resources:
        key = (stored.kind, stored.name)
        current[key] = model.from_stored(stored)
    return View(version, current)


def find_team(view: View, secret: str) -> ids.TeamName | None:
    """Finds the team that a secret authenticates.

    Args:
        view: The view; a verified secret is added to its cache.
        secret: The API key as the caller sent it.

    Returns:
        The team, or None if the secret is not valid.
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
    if len(view.team_by_secret) > MAX_CACHED_SECRETS:
        del view.team_by_secret[next(iter(view.team_by_secret))]
    return team


def get_service(
    view: View, service: ids.ServiceName
) -> resources.ServiceSpec | None:
    """Looks up a service.

    Args:
        view: The view.
        service: The service's name.

    Returns:
        The service's spec, or None if there is no such service.
    """
    resource = view.by_key.get((resources.Kind.SERVICE, service))
    if resource is None:
        return None
    spec = resource.spec
    return spec if isinstance(spec, resources.ServiceSpec) else None


def get_dispatcher(
    view: View, service: ids.ServiceName
) -> resources.DispatcherSpec | None:
    """Looks up the holder of a service's dispatch lease.

    Args:
        view: The view.
        service: The service's name.

    Returns:
        The spec with the holder and epoch; None before the first assignment.
    """
    resource = view.by_key.get((resources.Kind.DISPATCHER, service))
    if resource is None:
        return None
    spec = resource.spec
    return spec if isinstance(spec, resources.DispatcherSpec) else None
