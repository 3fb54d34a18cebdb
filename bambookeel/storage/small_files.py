"""Small files of a replica: the term with its vote, and the disk identity.

Each file starts with a checksum and is replaced atomically.
"""

import dataclasses
import typing

import msgspec
from returns import result
import xxhash

from bambookeel.core import faults
from bambookeel.core import ids

_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class TermRecord:
    """Term and vote, synced before any message that contains them is sent.

    Attributes:
        term: Current term of the member.
        vote: Member voted for in `term`; empty for none.
    """

    term: ids.Term
    vote: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class IdentityRecord:
    """Random identity of a disk, created together with the data folder.

    Attributes:
        process_id: Process that the folder belongs to.
        disk: Random identity, as hexadecimal digits.
    """

    process_id: ids.ProcessId
    disk: str


def encode_record(record: TermRecord | IdentityRecord) -> bytes:
    """Encodes a small file.

    Args:
        record: Data to store.

    Returns:
        Content of the file: a checksum and a JSON document.
    """
    body = msgspec.json.encode(record)
    return xxhash.xxh64_digest(body) + body


def decode_record(
    name: str, data: bytes, record_type: type
) -> result.Result[typing.Any, faults.Fault]:
    """Decodes a small file.

    Args:
        name: File name, used as the place of a fault.
        data: Content of the file.
        record_type: Data class to decode to.

    Returns:
        An instance of `record_type`, or a fault if the file is damaged.
    """
    body = data[_DIGEST_BYTES:]
    if xxhash.xxh64_digest(body) != data[:_DIGEST_BYTES]:
        return result.Failure(faults.Fault(name, "the checksum does not match"))
    return result.Success(msgspec.json.decode(body, type=record_type))
