"""The small files of a replica: term with vote, and disk identity.

Each is replaced as a whole and carries a checksum.
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
    """Term and vote, synced before any message tells them.

    Attributes:
        term: The term.
        vote: Whom the member voted for in it; empty for nobody.
    """

    term: ids.Term
    vote: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class IdentityRecord:
    """The random identity of a disk, made with its data folder.

    Attributes:
        process_id: The process that the folder belongs to.
        disk: The identity.
    """

    process_id: ids.ProcessId
    disk: str


def encode_record(record: TermRecord | IdentityRecord) -> bytes:
    """Encodes a small file.

    Args:
        record: Its content.

    Returns:
        The file's bytes.
    """
    body = msgspec.json.encode(record)
    return xxhash.xxh64_digest(body) + body


def decode_record(
    name: str, data: bytes, record_type: type
) -> result.Result[typing.Any, faults.Fault]:
    """Decodes a small file.

    Args:
        name: The file's name, for the fault.
        data: Its bytes.
        record_type: The data class of its content.

    Returns:
        The content, or the fault when it is damaged.
    """
    body = data[_DIGEST_BYTES:]
    if xxhash.xxh64_digest(body) != data[:_DIGEST_BYTES]:
        return result.Failure(faults.Fault(name, "the checksum does not fit"))
    return result.Success(msgspec.json.decode(body, type=record_type))
