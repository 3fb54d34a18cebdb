"""Format of the log file: a header, then one record for each entry.

Each record holds its length, a checksum and the index up to which the log was
synced when it was written. A scan returns the entries up to the first invalid
record. After a loss of power, any of the writes since the last sync may be
missing or torn, also if a later one is not, and the file may be truncated at
the first of them. If a later record shows that the invalid one was complete,
the file is damaged and must not be truncated.
"""

import dataclasses
import struct

from returns import result
import xxhash

from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import messages

_MAGIC = b"bklog001"
_HEADER = struct.Struct(">8sQQQ")
HEADER_BYTES = _HEADER.size
_PREFIX = struct.Struct(">IQ")
_BODY = struct.Struct(">QQB")
_SYNCED = struct.Struct(">Q")
# Ends each record, so that the last byte of a complete write is not zero.
_TRAILER = b"\xa5"
_IS_MEMBERSHIP = 1
# The record holds the index up to which the log was synced; records of earlier
# versions do not.
_HAS_SYNCED = 2
_MAX_RECORD_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ScannedLog:
    """Content of a log file.

    Attributes:
        base_index: Index before the first entry.
        base_term: Term of the entry at `base_index`.
        entries: Entries up to the first invalid record.
        offsets: Byte offset of each entry's record.
        valid_bytes: Length of the file up to the end of the last valid record.
    """

    base_index: ids.LogIndex
    base_term: ids.Term
    entries: tuple[messages.LogEntry, ...]
    offsets: tuple[int, ...]
    valid_bytes: int


def encode_header(base_index: int, base_term: int) -> bytes:
    """Encodes the header of the log file.

    Args:
        base_index: Index before the first entry.
        base_term: Term of the entry at `base_index`.

    Returns:
        `HEADER_BYTES` bytes, with a checksum.
    """
    fields = struct.pack(">QQ", base_index, base_term)
    digest = xxhash.xxh64_intdigest(_MAGIC + fields)
    return _HEADER.pack(_MAGIC, base_index, base_term, digest)


def encode_record(entry: messages.LogEntry, synced_index: int) -> bytes:
    """Encodes one entry.

    Args:
        entry: Log entry to encode.
        synced_index: Last index of the log that is certainly synced.

    Returns:
        The record, with its length and checksum.
    """
    flags = _HAS_SYNCED | (_IS_MEMBERSHIP if entry.is_membership else 0)
    body = _BODY.pack(entry.term, entry.index, flags)
    body += _SYNCED.pack(synced_index) + entry.payload + _TRAILER
    return _PREFIX.pack(len(body), xxhash.xxh64_intdigest(body)) + body


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """A valid record.

    Attributes:
        entry: Its entry.
        end: Byte offset of its end.
        synced_index: Last index that was synced when it was written.
    """

    entry: messages.LogEntry
    end: int
    synced_index: int


def _decode_record(data: bytes, offset: int) -> _Record | None:
    """Decodes the record at an offset.

    Args:
        data: Content of the log file.
        offset: Byte offset at which the record is expected.

    Returns:
        The record; None if it is truncated or damaged.
    """
    start = offset + _PREFIX.size
    if start > len(data):
        return None
    length, digest = _PREFIX.unpack_from(data, offset)
    end = start + length
    if not _BODY.size <= length <= _MAX_RECORD_BYTES or end > len(data):
        return None
    body = data[start:end]
    if xxhash.xxh64_intdigest(body) != digest:
        return None
    term, index, flags = _BODY.unpack_from(body)
    payload = body[_BODY.size :]
    # Records of earlier versions count as written after a sync.
    synced_index = index - 1
    if flags & _HAS_SYNCED:
        (synced_index,) = _SYNCED.unpack_from(payload)
        payload = payload[_SYNCED.size : -len(_TRAILER)]
    entry = messages.LogEntry(
        ids.Term(term),
        ids.LogIndex(index),
        bool(flags & _IS_MEMBERSHIP),
        payload,
    )
    return _Record(entry, end, synced_index)


def _find_proof_of_damage(data: bytes, offset: int, index: int) -> int | None:
    """Finds a later record which shows that an invalid one was complete.

    A later record may say that the invalid one was synced. If it does not, the
    bytes before it tell: where a write is missing or torn, they are zero.

    Args:
        data: Content of the log file.
        offset: Byte offset of the invalid record.
        index: Index of the entry that is expected there.

    Returns:
        Byte offset of the later record; None if there is none.
    """
    start = offset + 1
    valid_end = 0
    while start < len(data) - _PREFIX.size:
        record = _decode_record(data, start)
        if record is None:
            start += 1
            continue
        was_written = start != valid_end and data[start - 1] != 0
        if record.synced_index >= index or was_written:
            return start
        start = valid_end = record.end
    return None


def scan_log(data: bytes) -> result.Result[ScannedLog, faults.Fault]:
    """Decodes a log file and detects damage.

    Args:
        data: Content of the log file.

    Returns:
        The decoded content, or a fault if the header or a synced record is
        damaged.
    """
    header = data[:HEADER_BYTES]
    if len(header) == HEADER_BYTES:
        _, base_index, base_term, _ = _HEADER.unpack(header)
        is_valid = header == encode_header(base_index, base_term)
    else:
        is_valid = False
    if not is_valid:
        return result.Failure(faults.Fault("log:0", "the header is damaged"))
    entries: list[messages.LogEntry] = []
    offsets: list[int] = []
    offset = HEADER_BYTES
    while offset < len(data):
        decoded = _decode_record(data, offset)
        if decoded is None:
            break
        expected = base_index + len(entries) + 1
        if decoded.entry.index != expected:
            message = f"found entry {decoded.entry.index} instead of {expected}"
            return result.Failure(faults.Fault(f"log:{offset}", message))
        entries.append(decoded.entry)
        offsets.append(offset)
        offset = decoded.end
    proof = _find_proof_of_damage(data, offset, base_index + len(entries) + 1)
    if proof is not None:
        message = f"damaged record before a valid one at offset {proof}"
        return result.Failure(faults.Fault(f"log:{offset}", message))
    return result.Success(
        ScannedLog(
            ids.LogIndex(base_index),
            ids.Term(base_term),
            tuple(entries),
            tuple(offsets),
            offset,
        )
    )
