"""Packs larger payloads, which travel over narrow links or lie in the log.

A first byte tells whether the rest is packed.
"""

import zlib

_PLAIN = b"\0"
_PACKED = b"\1"
# Smaller payloads are not worth the time.
_MIN_PACKED_BYTES = 2_048
_LEVEL = 1


def compress(payload: bytes) -> bytes:
    """Packs a payload if it is large.

    Args:
        payload: The payload.

    Returns:
        What `decompress` takes.
    """
    if len(payload) < _MIN_PACKED_BYTES:
        return _PLAIN + payload
    return _PACKED + zlib.compress(payload, _LEVEL)


def decompress(packed: bytes) -> bytes:
    """Unpacks a payload.

    Args:
        packed: What `compress` gave.

    Returns:
        The payload.
    """
    if packed[:1] == _PLAIN:
        return packed[1:]
    return zlib.decompress(packed[1:])
