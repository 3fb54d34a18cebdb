"""The bytes of the log file: a header, then one record an entry.

Each record carries its length and a checksum. A scan gives the entries up to
the first record that is not whole. What follows it decides: no valid record
means a write that was cut by a crash, a later valid one means damage to data
that was already synced, which nobody may cut away.
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
    """What a log file holds.

    Attributes:
        base_index: Index before the first entry.
        base_term: Its term.
        entries: The whole entries.
        offsets: Where each entry begins.
        valid_bytes: Length up to the end of the last whole entry.
    """

    base_index: ids.LogIndex
    base_term: ids.Term
    entries: tuple[messages.LogEntry, ...]
    offsets: tuple[int, ...]
    valid_bytes: int


def encode_header(base_index: int, base_term: int) -> bytes:
    """Encodes the header.

    Args:
        base_index: Index before the first entry.
        base_term: Its term.

    Returns:
        The header.
    """
    fields = struct.pack(">QQ", base_index, base_term)
    digest = xxhash.xxh64_intdigest(_MAGIC + fields)
    return _HEADER.pack(_MAGIC, base_index, base_term, digest)


def encode_record(entry: messages.LogEntry) -> bytes:
    """Encodes one entry.

    Args:
        entry: The entry.

    Returns:
        Its record.
    """
    flags = 1 if entry.is_membership else 0
    body = _BODY.pack(entry.term, entry.index, flags) + entry.payload
    return _PREFIX.pack(len(body), xxhash.xxh64_intdigest(body)) + body


def _decode_record(
    data: bytes, offset: int
) -> tuple[messages.LogEntry, int] | None:
    """Decodes the record at an offset.

    Args:
        data: The file's bytes.
        offset: Where the record should begin.

    Returns:
        The entry and where its record ends; None when it is not whole.
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
    """Reads a log file.

    Args:
        data: The file's bytes.

    Returns:
        What it holds, or the fault when its middle is damaged.
    """
    header = data[:HEADER_BYTES]
    if len(header) == HEADER_BYTES:
        _, base_index, base_term, _ = _HEADER.unpack(header)
        is_whole = header == encode_header(base_index, base_term)
    else:
        is_whole = False
    if not is_whole:
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
            message = f"entry {entry.index} stands in place of {expected}"
            return result.Failure(faults.Fault(f"log:{offset}", message))
        entries.append(entry)
        offsets.append(offset)
        offset = end
    later = _find_later_record(data, offset) if offset < len(data) else None
    if later is not None:
        message = f"a damaged record stands before a whole one at {later}"
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
