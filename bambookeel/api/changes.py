"""Changes that operators make: one resource, a bundle, a key.

Takes a parsed request of a verified operator, builds one command and gives its
outcome. With `dry_run` the command is checked against what holds and never
enters the log.
"""

import dataclasses
import typing

import msgspec
from returns import result

from bambookeel.api import answers
from bambookeel.api import authority
from bambookeel.api import documents
from bambookeel.api import replica_client
from bambookeel.api import requests
from bambookeel.control import events
from bambookeel.core import checking
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.net import problem
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import keys
from bambookeel.state import model

_STATUS_BY_CODE = {
    commands.OutcomeCode.APPLIED: "200 OK",
    commands.OutcomeCode.CONFLICT: "409 Conflict",
    commands.OutcomeCode.INVALID: "422 Unprocessable Content",
    commands.OutcomeCode.NOT_FOUND: "404 Not Found",
}
_SECRET_ALREADY_SHOWN = (
    "this command was applied before; its secret was shown then and cannot be"
    " shown again: withdraw this key and create another one"
)
_CREATOR_UNKNOWN = (
    "the key was created, but whether by this request cannot be told now:"
    " withdraw it and create another one"
)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """Who changes what holds.

    Attributes:
        operator: The operator.
        state: What current when the key was verified.
        replica: Commits the command.
    """

    operator: authority.Operator
    state: model.State
    replica: replica_client.ReplicaClient


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleItem:
    """One resource of a bundle.

    Attributes:
        kind: The kind.
        name: The name.
        spec: The new spec; not for a delete.
        delete: Whether the resource is to be deleted.
        expected_version: The version that it must have; 0 for none yet, -1
            for any.
    """

    kind: resources.Kind
    name: str
    spec: dict[str, typing.Any] | None = None
    delete: bool = False
    expected_version: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """Resources that are changed wholly or not at all.

    Attributes:
        resources: The resources.
    """

    resources: tuple[BundleItem, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeyChange:
    withdrawn: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _KeyOwner:
    team: str = ""
    operator: str = ""


def _refuse_faults(
    found: tuple[faults.Fault, ...], prefix: str = ""
) -> answers.Refusal:
    prefixed = tuple(
        faults.Fault(prefix + fault.place, fault.message) for fault in found
    )
    detail = "; ".join(f"{f.place}: {f.message}" for f in prefixed[:3])
    return answers.Refusal("422 Unprocessable Content", detail, prefixed)


def _withdraw_key(
    state: model.State, name: str, spec: dict[str, typing.Any]
) -> commands.PutSpec | answers.Refusal:
    """Builds the change that withdraws a key.

    Args:
        state: The state.
        name: The key.
        spec: What the operator sent; only `withdrawn` may be in it.

    Returns:
        The change, or a refusal.
    """
    match checking.check_record(spec, _KeyChange):
        case result.Failure(found):
            return _refuse_faults(found, "spec.")
    current = state.by_key.get((resources.Kind.KEY, name))
    if current is None:
        detail = f"no key {name!r}; a key is created by POST /v1/key/NAME"
        return answers.Refusal("404 Not Found", detail)
    changed = {
        **msgspec.to_builtins(current.spec),
        "withdrawn": spec["withdrawn"],
    }
    return commands.PutSpec(resources.Kind.KEY, name, current.version, changed)


def put_resource(
    request: requests.Request,
    context: RequestContext,
    kind: resources.Kind,
    name: str,
) -> problem.Response:
    """Creates a resource or replaces its spec.

    Args:
        request: The request; its body is the spec.
        context: Who sends it.
        kind: The kind.
        name: The name.

    Returns:
        The response.
    """
    spec = requests.read_document(request)
    if isinstance(spec, answers.Refusal):
        return answers.build_response(spec)
    change: commands.PutSpec | answers.Refusal = commands.PutSpec(
        kind, name, request.expected_version, spec
    )
    if kind is resources.Kind.KEY:
        change = _withdraw_key(context.state, name, spec)
    if isinstance(change, answers.Refusal):
        return answers.build_response(change)
    return _commit(request, context, (change,), False)


def delete_resource(
    request: requests.Request,
    context: RequestContext,
    kind: resources.Kind,
    name: str,
) -> problem.Response:
    """Deletes a resource.

    Args:
        request: The request.
        context: Who sends it.
        kind: The kind.
        name: The name.

    Returns:
        The response.
    """
    change = commands.Delete(kind, name, request.expected_version)
    return _commit(request, context, (change,), False)


def _build_change(
    state: model.State, item: BundleItem, place: str
) -> commands.Change | answers.Refusal:
    """Builds the change of one resource of a bundle.

    Args:
        state: The state.
        item: The resource.
        place: Its path.

    Returns:
        The change, or a refusal.
    """
    version = ids.StateVersion(item.expected_version)
    if item.delete:
        return commands.Delete(item.kind, item.name, version)
    if item.spec is None:
        fault = faults.Fault(place, "needs a spec, or delete set to true")
        return _refuse_faults((fault,))
    if item.kind is not resources.Kind.KEY:
        return commands.PutSpec(item.kind, item.name, version, item.spec)
    change = _withdraw_key(state, item.name, item.spec)
    if isinstance(change, answers.Refusal):
        message = f"key {item.name!r}: {change.detail}"
        return _refuse_faults((faults.Fault(place, message),))
    return change


def apply_bundle(
    request: requests.Request, context: RequestContext
) -> problem.Response:
    """Changes several resources, wholly or not at all.

    Args:
        request: The request; its body is a bundle.
        context: Who sends it.

    Returns:
        The response.
    """
    document = requests.read_document(request)
    if isinstance(document, answers.Refusal):
        return answers.build_response(document)
    match checking.check_record(document, Bundle):
        case result.Failure(found):
            return answers.build_response(_refuse_faults(found))
        case result.Success(bundle):
            changes = []
            refused: list[faults.Fault] = []
            for i, item in enumerate(bundle.resources):
                change = _build_change(context.state, item, f"resources[{i}]")
                if isinstance(change, answers.Refusal):
                    refused.extend(change.found)
                    continue
                changes.append(change)
            if refused:
                return answers.build_response(_refuse_faults(tuple(refused)))
            return _commit(request, context, tuple(changes), True)
    raise AssertionError("a check either fails or succeeds")


def create_key(
    request: requests.Request, context: RequestContext, name: str
) -> problem.Response:
    """Creates a key and shows its secret, once.

    Args:
        request: The request; its body names a team or an operator.
        context: Who sends it.
        name: The key's id.

    Returns:
        The response with the secret, or without it on a repeat.
    """
    document = requests.read_document(request)
    if isinstance(document, answers.Refusal):
        return answers.build_response(document)
    match checking.check_record(document, _KeyOwner):
        case result.Failure(found):
            return answers.build_response(_refuse_faults(found))
        case result.Success(owner):
            key = keys.create_key(ids.KeyId(name), owner.team, owner.operator)
    change = commands.PutSpec(
        resources.Kind.KEY,
        name,
        commands.MUST_NOT_EXIST,
        msgspec.to_builtins(key.spec),
    )
    return _commit(request, context, (change,), False, key)


def _commit(
    request: requests.Request,
    context: RequestContext,
    changes: tuple[commands.Change, ...],
    is_bundle: bool,
    key: keys.NewKey | None = None,
) -> problem.Response:
    """Commits changes, or on a dry run checks them, and tells the outcome.

    Args:
        request: The request.
        context: Who sends it.
        changes: The changes.
        is_bundle: Whether they came as a bundle.
        key: The key that the command creates, if any.

    Returns:
        The response.
    """
    operator = context.operator
    for change in changes:
        reason = authority.find_forbidden_reason(
            operator, context.state, change
        )
        if reason:
            detail = f"{change.kind.value}/{change.name}: {reason}"
            refusal = answers.Refusal("403 Forbidden", detail)
            return answers.build_response(refusal)
    actor = operator.get_actor()
    # Each actor has ids of its own, so that none meets another's outcomes.
    command = commands.Command(
        ids.CommandId(f"{actor}/{request.command_id}"),
        actor,
        tuple(commands.wrap_change(change) for change in changes),
    )
    if request.has_flag("dry_run"):
        checked = apply.dry_run_command(context.state, command)
        return _build_outcome_response(
            request, checked, is_bundle, {"dry_run": True}
        )
    if not all(_is_well_formed(change) for change in changes):
        # It could never be applied, whatever holds, so it needs no log.
        checked = apply.dry_run_command(context.state, command)
        return _build_outcome_response(request, checked, is_bundle, {})
    outcome = context.replica.commit(command)
    if isinstance(outcome, events.NotCommitted):
        return answers.build_response(answers.refuse_not_committed(outcome))
    extra: dict[str, typing.Any] = {}
    if key is not None and outcome.code is commands.OutcomeCode.APPLIED:
        extra = _build_secret_members(context, key, outcome.version)
    return _build_outcome_response(request, outcome, is_bundle, extra)


def _is_well_formed(change: commands.Change) -> bool:
    if not isinstance(change, commands.PutSpec):
        return True
    spec_type = resources.SPEC_TYPES[change.kind]
    checked = checking.check_record(change.spec, spec_type)
    return isinstance(checked, result.Success)


def _build_secret_members(
    context: RequestContext, key: keys.NewKey, version: ids.StateVersion
) -> dict[str, typing.Any]:
    """Shows a created key's secret, unless an earlier command created it.

    Args:
        context: Who created it.
        key: The key of this request.
        version: The version in which the key was created.

    Returns:
        Members for the answer.
    """
    state: model.State | events.NotCommitted = context.replica.get_view().state
    if isinstance(state, model.State) and state.version < version:
        state = context.replica.read()
    if isinstance(state, events.NotCommitted):
        return {"secret": None, "detail": _CREATOR_UNKNOWN}
    current = state.by_key.get((resources.Kind.KEY, key.key_id))
    if current is None or current.spec != key.spec:
        return {"secret": None, "detail": _SECRET_ALREADY_SHOWN}
    return {"secret": key.secret}


def _build_outcome_response(
    request: requests.Request,
    outcome: commands.CommandOutcome,
    is_bundle: bool,
    extra: dict[str, typing.Any],
) -> problem.Response:
    """Builds the response of an outcome.

    Args:
        request: The request.
        outcome: The outcome.
        is_bundle: Whether it was a bundle.
        extra: Further members of an applied or checked change.

    Returns:
        The response.
    """
    document = documents.render_outcome(outcome, is_bundle)
    document["command_id"] = request.command_id
    document.update(extra)
    if outcome.code is commands.OutcomeCode.APPLIED:
        return problem.build_json_response("200 OK", document)
    first = document["faults"][0]
    status = _STATUS_BY_CODE[outcome.code]
    document.setdefault("detail", f"{first['place']}: {first['message']}")
    document["outcome"] = answers.NOT_RUN
    document["status"] = int(status[:3])
    return problem.build_json_response(
        status, document, "application/problem+json"
    )
