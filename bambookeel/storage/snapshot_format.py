"""The bytes of a snapshot file, which also travel to other replicas.

A checksum, the length of a JSON head, the head, and the encoded state.
"""

import dataclasses
import struct

import msgspec
from returns import result
import xxhash

from bambookeel.consensus import membership
from bambookeel.core import faults
from bambookeel.core import ids

_MAGIC = b"bksnap01"
_PREFIX = struct.Struct(">8sQI")


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotHead:
    """What a snapshot covers.

    Attributes:
        last_index: Index of the last entry that it covers.
        last_term: The term of that entry.
        members: The membership at that index.
    """

    last_index: ids.LogIndex
    last_term: ids.Term
    members: membership.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot.

    Attributes:
        head: What it covers.
        payload: The encoded state.
    """

    head: SnapshotHead
    payload: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot.

    Args:
        snapshot: The snapshot.

    Returns:
        The file's bytes.
    """
    head = msgspec.json.encode(snapshot.head)
    content = head + snapshot.payload
    digest = xxhash.xxh64_intdigest(struct.pack(">I", len(head)) + content)
    return _PREFIX.pack(_MAGIC, digest, len(head)) + content


def decode_snapshot(data: bytes) -> result.Result[Snapshot, faults.Fault]:
    """Decodes a snapshot.

    Args:
        data: The file's bytes.

    Returns:
        The snapshot, or the fault when it is not whole.
    """
    fault = faults.Fault("snapshot:0", "the checksum does not fit the content")
    if len(data) < _PREFIX.size:
        return result.Failure(fault)
    magic, digest, head_bytes = _PREFIX.unpack_from(data)
    content = data[_PREFIX.size :]
    found = xxhash.xxh64_intdigest(struct.pack(">I", head_bytes) + content)
    if magic != _MAGIC or digest != found:
        return result.Failure(fault)
    head = msgspec.json.decode(content[:head_bytes], type=SnapshotHead)
    return result.Success(Snapshot(head, content[head_bytes:]))
