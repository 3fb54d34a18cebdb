"""The replicated state as an entry sees it.

The follower task publishes a new immutable view after each batch of changes;
request handlers only read it. The view knows until when it may be trusted: past
that, the key table is stale and requests are refused.
"""

from collections.abc import Mapping
import dataclasses

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import keys
from bambookeel.state import model


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Resources up to one version.

    Attributes:
        version: The state version; it only grows.
        by_key: Resources by kind and name.
    """

    version: ids.StateVersion = ids.StateVersion(0)
    by_key: Mapping[model.ResourceKey, resources.Resource] = dataclasses.field(
        default_factory=dict
    )


def apply_changes(
    view: View,
    version: ids.StateVersion,
    changed: tuple[model.StoredResource, ...],
) -> View:
    """Applies the changes of one version; an older version changes nothing.

    Args:
        view: The view before.
        version: The version after the changes.
        changed: The changed resources.

    Returns:
        The view after.
    """
    if version <= view.version:
        return view
    current = dict(view.by_key)
    for stored in changed:
        key = (stored.kind, stored.name)
        if stored.spec is None:
            current.pop(key, None)
            continue
        current[key] = model.restore_resource(stored)
    return View(version, current)


def find_team(view: View, secret: str) -> ids.TeamName | None:
    """Finds the team that a key speaks for.

    Args:
        view: The view.
        secret: The key as the caller showed it.

    Returns:
        The team, or None when the key opens nothing.
    """
    key_id = keys.split_key_id(secret)
    resource = view.by_key.get((resources.Kind.KEY, key_id))
    if resource is None or not isinstance(resource.spec, resources.KeySpec):
        return None
    if not resource.spec.team or not keys.verify_secret(resource.spec, secret):
        return None
    return ids.TeamName(resource.spec.team)


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
