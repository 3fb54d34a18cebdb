"""Keys of teams and operators.

A secret is `<key id>.<random part>`; the state stores only a salted hash. The
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
    """A fresh key.

    Attributes:
        key_id: Its name as a resource.
        secret: What the holder shows; told once and never stored.
        spec: What is stored.
    """

    key_id: ids.KeyId
    secret: str
    spec: resources.KeySpec


def hash_secret(salt_hex: str, secret: str) -> str:
    """Hashes a secret.

    Args:
        salt_hex: The salt.
        secret: The whole secret.

    Returns:
        The hash in hexadecimal digits.
    """
    data = bytes.fromhex(salt_hex) + secret.encode("utf-8")
    return hashlib.sha256(data).hexdigest()


def create_key(key_id: ids.KeyId, team: str = "", operator: str = "") -> NewKey:
    """Creates a key for a team or for an operator.

    Args:
        key_id: Its name as a resource.
        team: The team, or empty.
        operator: The operator, or empty.

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
    """Finds which key a secret claims to be.

    Args:
        secret: The secret as shown.

    Returns:
        The key's id; empty when the secret has another form.
    """
    key_id, separator, _ = secret.partition(".")
    return ids.KeyId(key_id if separator else "")


def verify_secret(spec: resources.KeySpec, secret: str) -> bool:
    """Checks a secret against a stored key.

    Args:
        spec: The stored key.
        secret: The secret as shown.

    Returns:
        Whether it matches and the key has not been withdrawn.
    """
    if spec.withdrawn:
        return False
    return hmac.compare_digest(
        hash_secret(spec.salt_hex, secret), spec.hash_hex
    )
