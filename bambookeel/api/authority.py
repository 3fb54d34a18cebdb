"""Authentication and authorization of operators.

A request must present a key that belongs to an operator; keys of teams are not
accepted. The bootstrap key of the settings counts as an admin's key until an
operator with the role admin has a key that is not withdrawn.
"""

import dataclasses
import hashlib
import hmac

from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import keys
from bambookeel.state import model

_BOOTSTRAP_NAME = "bootstrap"
_MAX_SECRET_CHARS = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator whose key has been verified.

    Attributes:
        name: The resource's name; `bootstrap` for the bootstrap key.
        role: Determines which changes the operator may make.
    """

    name: str
    role: resources.Role

    def get_actor(self) -> str:
        """Returns the actor that this operator's commands name.

        Returns:
            The operator's name with `OPERATOR_PREFIX`.
        """
        return commands.OPERATOR_PREFIX + self.name


def _has_admin(state: model.State) -> bool:
    for resource in state.by_key.values():
        spec = resource.spec
        if not isinstance(spec, resources.KeySpec) or spec.withdrawn:
            continue
        if not spec.operator:
            continue
        if _find_role(state, spec.operator) is resources.Role.ADMIN:
            return True
    return False


def _find_role(state: model.State, name: str) -> resources.Role | None:
    resource = state.by_key.get((resources.Kind.OPERATOR, name))
    if resource is None:
        return None
    spec = resource.spec
    return spec.role if isinstance(spec, resources.OperatorSpec) else None


def find_operator(
    state: model.State, secret: str, bootstrap_key_sha256: str
) -> Operator | None:
    """Finds the operator to whom a key belongs.

    Args:
        state: State with the resources of keys and operators.
        secret: The secret that the request presents.
        bootstrap_key_sha256: SHA-256 of the bootstrap key, in hexadecimal.

    Returns:
        The operator, or None if the key is not accepted.
    """
    if not secret or len(secret) > _MAX_SECRET_CHARS:
        return None
    digest = hashlib.sha256(secret.encode("utf-8", "replace")).hexdigest()
    if hmac.compare_digest(digest, bootstrap_key_sha256):
        if _has_admin(state):
            return None
        return Operator(_BOOTSTRAP_NAME, resources.Role.ADMIN)
    key_id = keys.split_key_id(secret)
    resource = state.by_key.get((resources.Kind.KEY, key_id))
    if resource is None or not isinstance(resource.spec, resources.KeySpec):
        return None
    spec = resource.spec
    if not spec.operator or not keys.verify_secret(spec, secret):
        return None
    role = _find_role(state, spec.operator)
    return Operator(spec.operator, role) if role else None


def find_forbidden_reason(
    operator: Operator, state: model.State, change: commands.Change
) -> str:
    """Finds the reason why an operator may not make a change.

    Args:
        operator: The operator who requests the change.
        state: The current state.
        change: The requested change.

    Returns:
        The reason; empty if the operator's role permits the change.
    """
    match operator.role:
        case resources.Role.ADMIN:
            return ""
        case resources.Role.VIEWER:
            return "the role viewer changes nothing (accepted: editor, admin)"
    kind = resources.Kind
    concerns_operators = change.kind is kind.OPERATOR
    if change.kind is kind.KEY:
        current = state.by_key.get((kind.KEY, change.name))
        if current is not None and isinstance(current.spec, resources.KeySpec):
            concerns_operators = bool(current.spec.operator)
        if isinstance(change, commands.PutSpec):
            concerns_operators |= bool(change.spec.get("operator"))
    if concerns_operators:
        return (
            "the role editor changes no operators and no keys of operators"
            " (accepted: admin)"
        )
    return ""
