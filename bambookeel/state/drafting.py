"""Computes the result of a command and all faults of its changes.

A draft holds the resources as they would be after the command. Expected
versions are checked against the state before the command and references against
the draft, so that the changes of a command may come in any order. The caller
uses the draft only if it has no fault.
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
    """The result that a command would have.

    Attributes:
        by_key: All resources after the command.
        changed: Changed resources; a deleted one has a spec of None.
        code: The code of the command's outcome.
        faults: All reasons to refuse the command.
        conflicting: On a conflict the first existing resource whose version
            differs from the expected one.
    """

    by_key: pyrsistent.PMap
    changed: tuple[model.StoredResource, ...]
    code: commands.OutcomeCode
    faults: tuple[commands.CommandFault, ...]
    conflicting: resources.Resource | None


@dataclasses.dataclass(slots=True)
class _DraftBuilder:
    """Collects the effects of a command's changes one by one.

    Attributes:
        base: Resources before the command.
        version: State version of the command.
        by_key: Resources after the changes drafted so far.
        places: Path of the first put of a spec or delete, by resource.
        deleted: Paths of the deletes, by resource.
        written: Paths of changes that put a spec and these specs, in order.
        touched: Changed resources in order of their first change.
        faults: Faults by the outcome code that they cause.
        conflicting: First existing resource with an unexpected version.
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
        """Adds faults to the draft.

        Args:
            found: Faults of one change or of the whole command.
            code: The outcome code that they cause.
        """
        self.faults[code].extend(found)


def _check_version(
    builder: _DraftBuilder, change: commands.Change, place: str
) -> bool:
    """Compares a change's expected version with the resource's version.

    Args:
        builder: Receives the fault and the conflicting resource.
        change: The change to check.
        place: Path of the change.

    Returns:
        Whether the versions match.
    """
    current = builder.base.get((change.kind, change.name))
    expected = change.expected_version
    current_version = current.version if current else commands.MUST_NOT_EXIST
    if expected in (commands.ANY_VERSION, current_version):
        return True
    actual = (
        f"version {current_version} holds"
        if current
        else "the resource does not exist"
    )
    required = f"version {expected}" if expected else "no such resource"
    fault = commands.CommandFault(
        f"{place}.expected_version", f"expected {required}, but {actual}"
    )
    builder.add_faults([fault], commands.OutcomeCode.CONFLICT)
    if builder.conflicting is None:
        builder.conflicting = current
    return False


def _is_duplicate(
    builder: _DraftBuilder, change: commands.Change, place: str
) -> bool:
    """Checks for a second put of a spec or delete of a resource."""
    if isinstance(change, commands.PutStatus):
        return False
    key = (change.kind, change.name)
    earlier = builder.places.setdefault(key, place)
    if earlier == place:
        return False
    message = f"{earlier} changes the same resource (accepted: one change each)"
    builder.add_faults([commands.CommandFault(place, message)])
    return True


def _put_spec(
    builder: _DraftBuilder, change: commands.PutSpec, place: str
) -> None:
    """Drafts a new or replaced spec.

    Args:
        builder: Receives the resource, or the faults of the spec.
        change: The change to draft.
        place: Path of the change.
    """
    key = (change.kind, change.name)
    current = builder.by_key.get(key)
    spec_type = resources.SPEC_TYPES[change.kind]
    match checking.check_record(change.spec, spec_type):
        case result.Failure(found):
            builder.add_faults(
                [
                    commands.CommandFault(
                        _build_spec_place(place, f.place), f.message
                    )
                    for f in found
                ]
            )
        case result.Success(spec):
            current_spec = current.spec if current else None
            builder.add_faults(
                rules.check_spec(spec, current_spec, f"{place}.spec")
            )
            status = current.status if current else resources.Status()
            builder.written.append((place, spec))
            builder.touched[key] = None
            builder.by_key = builder.by_key.set(
                key,
                resources.Resource(
                    change.kind,
                    change.name,
                    builder.version,
                    builder.version,
                    spec,
                    status,
                ),
            )


def _build_spec_place(place: str, field: str) -> str:
    return f"{place}.spec" if field == "top" else f"{place}.spec.{field}"


def _draft_change(
    builder: _DraftBuilder, change: commands.Change, place: str
) -> None:
    """Drafts one change whose expected version matches.

    Args:
        builder: Receives the changed resource, or the fault.
        change: The change to draft.
        place: Path of the change.
    """
    if isinstance(change, commands.PutSpec):
        _put_spec(builder, change, place)
        return
    key = (change.kind, change.name)
    current = builder.by_key.get(key)
    if current is None:
        message = f"{change.kind.value} {change.name!r} does not exist"
        builder.add_faults(
            [commands.CommandFault(place, message)],
            commands.OutcomeCode.NOT_FOUND,
        )
        return
    builder.touched[key] = None
    if isinstance(change, commands.Delete):
        builder.deleted[key] = place
        builder.by_key = builder.by_key.remove(key)
        return
    status = change.status
    if not status.spec_version:
        # The expected version matched, so the status describes this spec.
        status = dataclasses.replace(status, spec_version=current.spec_version)
    builder.by_key = builder.by_key.set(
        key,
        dataclasses.replace(current, version=builder.version, status=status),
    )


def draft_command(
    state: model.State, version: ids.StateVersion, command: commands.Command
) -> Draft:
    """Drafts a command's result.

    Args:
        state: The state before the command.
        version: State version of the command.
        command: A command that has not been validated.

    Returns:
        The draft, to be used only if it has no faults.
    """
    # `model.State` converts every mapping to a persistent map.
    base = typing.cast(pyrsistent.PMap, state.by_key)
    builder = _DraftBuilder(
        base,
        version,
        base,
        {},
        {},
        [],
        {},
        {c: [] for c in commands.OutcomeCode},
    )
    builder.add_faults(rules.check_command(command))
    for i, tagged in enumerate(command.changes[: rules.MAX_CHANGES]):
        change = commands.unwrap_change(tagged)
        place = f"changes[{i}]"
        builder.add_faults(rules.check_change(command.actor, change, place))
        if _is_duplicate(builder, change, place):
            continue
        if _check_version(builder, change, place):
            _draft_change(builder, change, place)
    refused = builder.places.keys() - builder.touched.keys()
    for place, spec in builder.written:
        found = references.find_missing(spec, builder.by_key, refused, place)
        builder.add_faults(found)
    builder.add_faults(
        references.find_dangling(builder.deleted, builder.by_key)
    )
    return _build_draft(builder)


def _build_draft(builder: _DraftBuilder) -> Draft:
    """Builds the draft once all changes have been processed.

    Args:
        builder: The collected effects and faults.

    Returns:
        The draft; its code is a conflict if any change has one, otherwise
        invalid, otherwise not found.
    """
    code = commands.OutcomeCode.APPLIED
    for candidate in (
        commands.OutcomeCode.NOT_FOUND,
        commands.OutcomeCode.INVALID,
        commands.OutcomeCode.CONFLICT,
    ):
        if builder.faults[candidate]:
            code = candidate
    found = [fault for some in builder.faults.values() for fault in some]
    changed = []
    for key in builder.touched:
        resource = builder.by_key.get(key)
        if resource is None:
            changed.append(model.to_stored_deletion(key, builder.version))
            continue
        changed.append(model.to_stored(resource))
    return Draft(
        builder.by_key, tuple(changed), code, tuple(found), builder.conflicting
    )
