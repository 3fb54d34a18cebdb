"""Changes by operators: of one resource, of a bundle, or of a key.

Each request of an authenticated operator becomes one command, and the response
reports the command's outcome. With `dry_run` the command is only checked
against the current state and is not appended to the log.
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
    """What is needed to handle a request besides the request itself.

    Attributes:
        operator: The authenticated operator.
        state: The state against which the key was verified.
        replica: Client of the replica that commits the command.
    """

    operator: authority.Operator
    state: model.State
    replica: replica_client.ReplicaClient


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BundleItem:
    """One resource of a bundle.

    Attributes:
        kind: The resource's kind.
        name: The resource's name.
        spec: The new spec; None if the resource is to be deleted.
        delete: Whether the resource is to be deleted.
        expected_version: The version that the resource must have; 0 if it must
            not exist, -1 for any version.
    """

    kind: resources.Kind
    name: str
    spec: dict[str, typing.Any] | None = None
    delete: bool = False
    expected_version: int = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """Changes of several resources that are applied atomically.

    Attributes:
        resources: One change for each resource.
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
    """Builds the change of a key's field `withdrawn`; keeps the other fields.

    Args:
        state: The current state.
        name: Name of the key's resource.
        spec: The spec that was sent, which may contain only `withdrawn`.

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
        request: Request whose body is the spec.
        context: Operator, state and replica of the request.
        kind: The resource's kind.
        name: The resource's name.

    Returns:
        The response with the outcome or a refusal.
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
        request: Request with the expected version.
        context: Operator, state and replica of the request.
        kind: The resource's kind.
        name: The resource's name.

    Returns:
        The response with the outcome or a refusal.
    """
    change = commands.Delete(kind, name, request.expected_version)
    return _commit(request, context, (change,), False)


def _build_change(
    state: model.State, item: BundleItem, place: str
) -> commands.Change | answers.Refusal:
    """Builds the change of one resource of a bundle.

    Args:
        state: The current state.
        item: The item of the bundle.
        place: Path of the item in the bundle, for faults.

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
    """Changes several resources atomically.

    Args:
        request: Request whose body is a bundle.
        context: Operator, state and replica of the request.

    Returns:
        The response with the outcome, or a refusal with all faults.
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
    raise AssertionError("the check gave neither Failure nor Success")


def create_key(
    request: requests.Request, context: RequestContext, name: str
) -> problem.Response:
    """Creates a key and returns its secret, which is shown only once.

    Args:
        request: Request whose body names a team or an operator.
        context: Operator, state and replica of the request.
        name: The id of the new key.

    Returns:
        The response with the secret; without it if an earlier attempt of the
        same command created the key.
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
    """Commits changes as one command, or only checks them on a dry run.

    Args:
        request: Request with the command id and the flag `dry_run`.
        context: Operator, state and replica of the request.
        changes: Changes of the command.
        is_bundle: Whether the request was a bundle.
        key: The key that the command creates; None for other commands.

    Returns:
        The response with the outcome or a refusal.
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
    # Two operators may choose the same id; with the actor as its prefix neither
    # gets the outcome of the other's command.
    command = commands.Command(
        ids.CommandId(f"{actor}/{request.command_id}"),
        actor,
        tuple(commands.wrap_change(change) for change in changes),
    )
    if request.has_flag("dry_run"):
        checked = apply.dry_run_command(context.state, command)
        return _report_outcome(request, checked, is_bundle, {"dry_run": True})
    if not all(_is_well_formed(change) for change in changes):
        # Invalid in any state, so the command is not appended to the log.
        checked = apply.dry_run_command(context.state, command)
        return _report_outcome(request, checked, is_bundle, {})
    outcome = context.replica.commit(command)
    if isinstance(outcome, events.NotCommitted):
        return answers.build_response(answers.refuse_not_committed(outcome))
    extra: dict[str, typing.Any] = {}
    if key is not None and outcome.code is commands.OutcomeCode.APPLIED:
        extra = _build_secret_members(context, key, outcome.version)
    return _report_outcome(request, outcome, is_bundle, extra)


def _is_well_formed(change: commands.Change) -> bool:
    if not isinstance(change, commands.PutSpec):
        return True
    spec_type = resources.SPEC_TYPES[change.kind]
    checked = checking.check_record(change.spec, spec_type)
    return isinstance(checked, result.Success)


def _build_secret_members(
    context: RequestContext, key: keys.NewKey, version: ids.StateVersion
) -> dict[str, typing.Any]:
    """Builds the response members that show the secret of a created key.

    The secret is null if the stored key differs from the key of this request,
    as an earlier attempt of the same command then created it, and if the state
    cannot be read to compare them.

    Args:
        context: Operator, state and replica of the request.
        key: The key that this request proposed.
        version: The version of the state in which the key was created.

    Returns:
        The member `secret`, and `detail` if the secret is null.
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


def _report_outcome(
    request: requests.Request,
    outcome: commands.CommandOutcome,
    is_bundle: bool,
    extra: dict[str, typing.Any],
) -> problem.Response:
    """Builds the response for a command's outcome.

    Args:
        request: Request with the command id.
        outcome: The outcome to report.
        is_bundle: Whether the request was a bundle.
        extra: Further members of the response's document.

    Returns:
        A JSON response for an applied command, otherwise problem+json.
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
