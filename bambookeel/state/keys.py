"""API keys of teams and operators.

A secret is `<key id>.<random part>`; the state stores only its salted hash. The
random part has 192 bits, so one round of SHA-256 is enough against guessing.
"""

import dataclasses
import hashlib
import hmac
import secrets

from bambookeel.core import ids
from bambookeel.core import resources

_SALT_BYTES = 16
_RANDOM_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True)
class NewKey:
    """A newly created key.

    Attributes:
        key_id: Name of the key's resource.
        secret: The secret that clients send; shown once and never stored.
        spec: The spec to store, with the salted hash of the secret.
    """

    key_id: ids.KeyId
    secret: str
    spec: resources.KeySpec


def hash_secret(salt_hex: str, secret: str) -> str:
    """Hashes a secret with SHA-256.

    Args:
        salt_hex: The salt in hexadecimal digits.
        secret: The whole secret, with the key id.

    Returns:
        The hash in hexadecimal digits.
    """
    data = bytes.fromhex(salt_hex) + secret.encode("utf-8")
    return hashlib.sha256(data).hexdigest()


def create_key(key_id: ids.KeyId, team: str = "", operator: str = "") -> NewKey:
    """Creates a key for a team or for an operator.

    Args:
        key_id: Name of the key's resource.
        team: The owning team; empty if an operator owns the key.
        operator: The owning operator; empty if a team owns the key.

    Returns:
        The key with its secret.
    """
    secret = f"{key_id}.{secrets.token_urlsafe(_RANDOM_BYTES)}"
    salt_hex = secrets.token_hex(_SALT_BYTES)
    spec = resources.KeySpec(
        team=team,
        operator=operator,
        salt_hex=salt_hex,
        hash_hex=hash_secret(salt_hex, secret),
    )
    return NewKey(key_id, secret, spec)


def split_key_id(secret: str) -> ids.KeyId:
    """Returns the key id that a secret starts with.

    Args:
        secret: The secret that a client sent.

    Returns:
        The key id; empty if the secret is malformed.
    """
    key_id, separator, _ = secret.partition(".")
    return ids.KeyId(key_id if separator else "")


def verify_secret(spec: resources.KeySpec, secret: str) -> bool:
    """Checks a secret against a stored key.

    Args:
        spec: The stored key.
        secret: The secret that a client sent.

    Returns:
        Whether the secret matches and the key has not been withdrawn.
    """
    if spec.withdrawn:
        return False
    return hmac.compare_digest(
        hash_secret(spec.salt_hex, secret), spec.hash_hex
    )
