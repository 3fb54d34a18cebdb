"""Format of the log file: a header, then one record for each entry.

Each record holds its length and a checksum. A scan returns the entries up to
the first invalid record. If no valid record follows, a crash has interrupted
the last write, and the file may be truncated there. If a valid record follows,
data that was already synced is damaged, and the file must not be truncated.
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


def encode_record(entry: messages.LogEntry) -> bytes:
    """Encodes one entry.

    Args:
        entry: Log entry to encode.

    Returns:
        The record, with its length and checksum.
    """
    flags = 1 if entry.is_membership else 0
    body = _BODY.pack(entry.term, entry.index, flags) + entry.payload
    return _PREFIX.pack(len(body), xxhash.xxh64_intdigest(body)) + body


def _decode_record(
    data: bytes, offset: int
) -> tuple[messages.LogEntry, int] | None:
    """Decodes the record at an offset.

    Args:
        data: Content of the log file.
        offset: Byte offset at which the record is expected.

    Returns:
        The entry and the offset of the record's end; None if the record is
        truncated or damaged.
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
    entry = messages.LogEntry(
        ids.Term(term), ids.LogIndex(index), bool(flags & 1), payload
    )
    return entry, end


def _find_later_record(data: bytes, offset: int) -> int | None:
    for start in range(offset + 1, len(data) - _PREFIX.size):
        if _decode_record(data, start) is not None:
            return start
    return None


def scan_log(data: bytes) -> result.Result[ScannedLog, faults.Fault]:
    """Decodes a log file and detects damage.

    Args:
        data: Content of the log file.

    Returns:
        The decoded content, or a fault if the header or a record before the
        last valid one is damaged.
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
        entry, end = decoded
        expected = base_index + len(entries) + 1
        if entry.index != expected:
            message = f"found entry {entry.index} instead of {expected}"
            return result.Failure(faults.Fault(f"log:{offset}", message))
        entries.append(entry)
        offsets.append(offset)
        offset = end
    later = _find_later_record(data, offset) if offset < len(data) else None
    if later is not None:
        message = f"damaged record before a valid one at offset {later}"
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
