"""Format of a snapshot file, which is also sent to other replicas.

The file holds a magic number, a checksum, the length of a JSON head, the head,
and the encoded state.
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
    """Position of a snapshot in the log, and the membership there.

    Attributes:
        last_index: Index of the last entry that the snapshot covers.
        last_term: Term of the entry at `last_index`.
        members: Membership at `last_index`.
    """

    last_index: ids.LogIndex
    last_term: ids.Term
    members: membership.Membership


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A snapshot of the applied state.

    Attributes:
        head: Position in the log and membership.
        payload: Encoded state.
    """

    head: SnapshotHead
    payload: bytes


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot.

    Args:
        snapshot: Snapshot to encode.

    Returns:
        Content of the snapshot file.
    """
    head = msgspec.json.encode(snapshot.head)
    content = head + snapshot.payload
    digest = xxhash.xxh64_intdigest(struct.pack(">I", len(head)) + content)
    return _PREFIX.pack(_MAGIC, digest, len(head)) + content


def decode_snapshot(data: bytes) -> result.Result[Snapshot, faults.Fault]:
    """Decodes a snapshot.

    Args:
        data: Content of a snapshot file.

    Returns:
        The snapshot, or a fault if it is truncated or damaged.
    """
    fault = faults.Fault("snapshot:0", "the checksum does not match")
    if len(data) < _PREFIX.size:
        return result.Failure(fault)
    magic, digest, head_bytes = _PREFIX.unpack_from(data)
    content = data[_PREFIX.size :]
    found = xxhash.xxh64_intdigest(struct.pack(">I", head_bytes) + content)
    if magic != _MAGIC or digest != found:
        return result.Failure(fault)
    head = msgspec.json.decode(content[:head_bytes], type=SnapshotHead)
    return result.Success(Snapshot(head, content[head_bytes:]))
