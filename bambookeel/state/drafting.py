"""Drafts the result of a command, with every fault of all its changes.

A draft is the state's resources as they would be after the command. All its
changes are checked as one: expected versions against the state before it,
references against the draft, so that the order within a command is free. The
caller takes the draft only when it has no fault.
"""

import dataclasses
import typing

import pyrsistent
from returns import result

from bambookeel.core import checking
from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model
from bambookeel.state import references
from bambookeel.state import rules


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """What a command would lead to.

    Attributes:
        by_key: All resources after it.
        changed: The changed ones, deleted ones with a spec of None.
        code: What the outcome would be.
        faults: Every reason to refuse it.
        conflicting: On a conflict the first resource that holds.
    """

    by_key: pyrsistent.PMap
    changed: tuple[model.StoredResource, ...]
    code: commands.OutcomeCode
    faults: tuple[commands.CommandFault, ...]
    conflicting: resources.Resource | None


@dataclasses.dataclass(slots=True)
class _Drafting:
    """A draft in the making.

    Attributes:
        base: Resources before the command.
        version: State version of the command.
        by_key: Resources so far.
        places: Paths of the changes of a spec, by resource.
        deleted: Paths of the deletes, by resource.
        written: Paths and specs that were put, in order.
        touched: Changed resources in order of their first change.
        faults: Faults by the outcome that they lead to.
        conflicting: The first resource in conflict.
    """

    base: pyrsistent.PMap
    version: ids.StateVersion
    by_key: pyrsistent.PMap
    places: dict[model.ResourceKey, str]
    deleted: dict[model.ResourceKey, str]
    written: list[tuple[str, resources.Spec]]
    touched: dict[model.ResourceKey, None]
    faults: dict[commands.OutcomeCode, list[commands.CommandFault]]
    conflicting: resources.Resource | None = None

    def add_faults(
        self,
        found: list[commands.CommandFault],
        code: commands.OutcomeCode = commands.OutcomeCode.INVALID,
    ) -> None:
        """Gathers faults.

        Args:
            found: The faults.
            code: The outcome that they lead to.
        """
        self.faults[code].extend(found)


def _check_version(
    draft: _Drafting, change: commands.Change, place: str
) -> bool:
    """Compares a change's expected version with what held before.

    Args:
        draft: The draft.
        change: The change.
        place: Its path.

    Returns:
        Whether the change may go on.
    """
    current = draft.base.get((change.kind, change.name))
    expected = change.expected_version
    held = current.version if current else commands.MUST_NOT_EXIST
    if expected in (commands.ANY_VERSION, held):
        return True
    holds = (
        f"version {held} holds" if current else "the resource does not exist"
    )
    wanted = f"version {expected}" if expected else "no such resource"
    fault = commands.CommandFault(
        f"{place}.expected_version", f"expected {wanted}, but {holds}"
    )
    draft.add_faults([fault], commands.OutcomeCode.CONFLICT)
    if draft.conflicting is None:
        draft.conflicting = current
    return False


def _is_repeated(draft: _Drafting, change: commands.Change, place: str) -> bool:
    """Finds a second change of one resource's spec in the same command."""
    if isinstance(change, commands.PutStatus):
        return False
    key = (change.kind, change.name)
    earlier = draft.places.setdefault(key, place)
    if earlier == place:
        return False
    message = f"{earlier} changes the same resource (accepted: one change each)"
    draft.add_faults([commands.CommandFault(place, message)])
    return True


def _put_spec(draft: _Drafting, change: commands.PutSpec, place: str) -> None:
    """Drafts a new or replaced spec.

    Args:
        draft: The draft.
        change: The change.
        place: Its path.
    """
    key = (change.kind, change.name)
    current = draft.by_key.get(key)
    spec_type = resources.SPEC_TYPES[change.kind]
    match checking.check_record(change.spec, spec_type):
        case result.Failure(found):
            draft.add_faults(
                [
                    commands.CommandFault(_join_spec(place, f.place), f.message)
                    for f in found
                ]
            )
        case result.Success(spec):
            held = current.spec if current else None
            draft.add_faults(rules.check_spec(spec, held, f"{place}.spec"))
            status = current.status if current else resources.Status()
            draft.written.append((place, spec))
            draft.touched[key] = None
            draft.by_key = draft.by_key.set(
                key,
                resources.Resource(
                    change.kind,
                    change.name,
                    draft.version,
                    draft.version,
                    spec,
                    status,
                ),
            )


def _join_spec(place: str, field: str) -> str:
    return f"{place}.spec" if field == "top" else f"{place}.spec.{field}"


def _draft_change(
    draft: _Drafting, change: commands.Change, place: str
) -> None:
    """Drafts one change whose expected version holds.

    Args:
        draft: The draft.
        change: The change.
        place: Its path.
    """
    if isinstance(change, commands.PutSpec):
        _put_spec(draft, change, place)
        return
    key = (change.kind, change.name)
    current = draft.by_key.get(key)
    if current is None:
        message = f"{change.kind.value} {change.name!r} does not exist"
        draft.add_faults(
            [commands.CommandFault(place, message)],
            commands.OutcomeCode.NOT_FOUND,
        )
        return
    draft.touched[key] = None
    if isinstance(change, commands.Delete):
        draft.deleted[key] = place
        draft.by_key = draft.by_key.remove(key)
        return
    status = change.status
    if not status.spec_version:
        # Its expected version tells that this spec is the one it was made from.
        status = dataclasses.replace(status, spec_version=current.spec_version)
    draft.by_key = draft.by_key.set(
        key,
        dataclasses.replace(current, version=draft.version, status=status),
    )


def draft_command(
    state: model.State, version: ids.StateVersion, command: commands.Command
) -> Draft:
    """Drafts a command's result.

    Args:
        state: The state before it.
        version: State version of the command.
        command: The command.

    Returns:
        The draft, to be taken only without faults.
    """
    # The state keeps every mapping as a persistent one.
    base = typing.cast(pyrsistent.PMap, state.by_key)
    draft = _Drafting(
        base,
        version,
        base,
        {},
        {},
        [],
        {},
        {c: [] for c in commands.OutcomeCode},
    )
    draft.add_faults(rules.check_command(command))
    for i, tagged in enumerate(command.changes[: rules.MAX_CHANGES]):
        change = commands.unwrap_change(tagged)
        place = f"changes[{i}]"
        draft.add_faults(rules.check_change(command.actor, change, place))
        if _is_repeated(draft, change, place):
            continue
        if _check_version(draft, change, place):
            _draft_change(draft, change, place)
    refused = draft.places.keys() - draft.touched.keys()
    for place, spec in draft.written:
        found = references.find_missing(spec, draft.by_key, refused, place)
        draft.add_faults(found)
    draft.add_faults(references.find_dangling(draft.deleted, draft.by_key))
    return _finish(draft)


def _finish(draft: _Drafting) -> Draft:
    """Closes a draft.

    Args:
        draft: The draft in the making.

    Returns:
        The draft; a conflict goes before other faults.
    """
    code = commands.OutcomeCode.APPLIED
    for candidate in (
        commands.OutcomeCode.NOT_FOUND,
        commands.OutcomeCode.INVALID,
        commands.OutcomeCode.CONFLICT,
    ):
        if draft.faults[candidate]:
            code = candidate
    found = [fault for some in draft.faults.values() for fault in some]
    changed = []
    for key in draft.touched:
        resource = draft.by_key.get(key)
        if resource is None:
            changed.append(model.to_stored_deletion(key, draft.version))
            continue
        changed.append(model.to_stored(resource))
    return Draft(
        draft.by_key, tuple(changed), code, tuple(found), draft.conflicting
    )
