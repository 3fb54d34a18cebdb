"""Compresses large payloads that go over slow links or into the log.

The first byte of the result shows whether the rest is compressed.
"""

import zlib

_UNCOMPRESSED = b"\0"
_COMPRESSED = b"\1"
# Compressing smaller payloads is not worth the time.
_MIN_COMPRESSED_BYTES = 2_048
_LEVEL = 1


def compress(payload: bytes) -> bytes:
    """Compresses a payload if it is large.

    Args:
        payload: The payload, of any size.

    Returns:
        Input for `decompress`.
    """
    if len(payload) < _MIN_COMPRESSED_BYTES:
        return _UNCOMPRESSED + payload
    return _COMPRESSED + zlib.compress(payload, _LEVEL)


def decompress(compressed: bytes) -> bytes:
    """Restores a payload.

    Args:
        compressed: A result of `compress`.

    Returns:
        The payload.
    """
    if compressed[:1] == _UNCOMPRESSED:
        return compressed[1:]
    return zlib.decompress(compressed[1:])
