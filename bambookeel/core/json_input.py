"""Reads JSON that another process has written.

Any bytes give a record, or the reason why they give none: malformed JSON, a
field of another type or out of range, or nesting that is too deep. Entries of a
list can be read one by one, so that an odd one does not invalidate the others.
"""

from collections.abc import Callable
import re
import typing

import msgspec

# Integers up to this size are exact in every JSON implementation, and sums of
# them fit in the 64 bits of the messages between processes.
MAX_INTEGER = 2**53 - 1
_MAX_AMOUNT = 1e15
_MAX_NAME_CHARS = 255
# Limit of a reason, which becomes part of a log line.
_MAX_REASON_CHARS = 200
# An entry of a list that is nested more deeply is dropped.
_MAX_ENTRY_DEPTH = 64
# Depth of an entry: it is in an array that is a member of an object.
_ENTRY_DEPTH = 3
# One object in 32 bytes of the largest configuration; sound ones have 45 or
# more bytes each. Decoded objects take some 500 bytes each.
_MAX_OBJECTS = 131_072
# A larger document is not searched for such entries, which takes time.
_MAX_BLANKED_BYTES = 1024 * 1024
# A string without an end is matched, too, so that it is read only once.
_STRING_OR_BRACKETS = re.compile(
    rb'"(?:[^"\\]|\\.)*"?|[\[{]+|[\]}]+', re.DOTALL
)

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
WholeAboveZero = typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_INTEGER)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=_MAX_AMOUNT)]
AmountAboveZero = typing.Annotated[float, msgspec.Meta(gt=0, le=_MAX_AMOUNT)]
Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARS)
]

_Record = typing.TypeVar("_Record")
_Converted = typing.TypeVar("_Converted")


def read(
    body: bytes | msgspec.Raw,
    record_type: type[_Record],
    convert: Callable[[_Record], _Converted],
) -> _Converted | str:
    """Reads and converts one record.

    Args:
        body: JSON from another process; may be any bytes.
        record_type: Type to decode; its integers and numbers need a range.
        convert: Converts the decoded record; may raise a `ValueError`.

    Returns:
        The converted record, or one sentence on why there is none.
    """
    try:
        return convert(msgspec.json.decode(body, type=record_type))
    except RecursionError:
        return "the JSON is nested too deeply"
    except (ValueError, OverflowError) as error:
        return str(error)[:_MAX_REASON_CHARS] or type(error).__name__


def read_large(
    body: bytes,
    record_type: type[_Record],
    convert: Callable[[_Record], _Converted],
) -> _Converted | str:
    """Reads and converts a record, unless it has very many objects.

    Args:
        body: JSON from another process; may be any bytes.
        record_type: Type to decode; its integers and numbers need a range.
        convert: Converts the decoded record; may raise a `ValueError`.

    Returns:
        The converted record, or one sentence on why there is none.
    """
    if body.count(b"{") > _MAX_OBJECTS:
        return f"more than {_MAX_OBJECTS} objects"
    return read(body, record_type, convert)


def has_more_entries(body: bytes, name: str, most: int) -> bool:
    """Checks the length of a list before its entries are decoded.

    Decoded entries may take many times the memory of the JSON.

    Args:
        body: JSON from another process; may be any bytes.
        name: Name of the list, which is a member of an object.
        most: Number of entries that are still decoded.

    Returns:
        Whether there are more; False if the list cannot be read.
    """
    if body.count(b"{") <= most:
        return False
    found = decode(body, dict[str, msgspec.Raw])
    if isinstance(found, str) or name not in found:
        return False
    entries = decode(found[name], tuple[msgspec.Raw, ...])
    return not isinstance(entries, str) and len(entries) > most


def decode(
    body: bytes | msgspec.Raw, record_type: type[_Record]
) -> _Record | str:
    """Reads one record as it is.

    Args:
        body: JSON from another process; may be any bytes.
        record_type: Type to decode; its integers and numbers need a range.

    Returns:
        The record, or one sentence on why there is none.
    """
    return read(body, record_type, lambda record: record)


def read_entries(
    entries: tuple[msgspec.Raw, ...], entry_type: type[_Record]
) -> tuple[list[_Record], str]:
    """Reads the entries of a list, without those that cannot be read.

    Args:
        entries: Undecoded entries.
        entry_type: Type of an entry.

    Returns:
        The readable entries, and the reason why the first of the others is
        not; empty if all are.
    """
    found = []
    fault = ""
    for raw in entries:
        entry = decode(raw, entry_type)
        if isinstance(entry, str):
            fault = fault or entry
            continue
        found.append(entry)
    return found, fault


def blank_deep_entries(body: bytes) -> bytes:
    """Replaces list entries that are nested too deeply by null.

    A decoder refuses a whole document because of one such entry.

    Args:
        body: A JSON object whose members may be arrays of entries.

    Returns:
        The document with null in place of those entries; unchanged if it is
        large.
    """
    if len(body) > _MAX_BLANKED_BYTES:
        return body
    kept = []
    kept_until = begin = depth = deepest = 0
    for token in _STRING_OR_BRACKETS.finditer(body):
        count = token.end() - token.start()
        match body[token.start() : token.start() + 1]:
            case b"[" | b"{":
                if depth < _ENTRY_DEPTH <= depth + count:
                    begin = token.start() + _ENTRY_DEPTH - 1 - depth
                    deepest = 0
                depth += count
                deepest = max(deepest, depth)
            case b"]" | b"}":
                is_end = depth - count < _ENTRY_DEPTH <= depth
                if is_end and deepest > _MAX_ENTRY_DEPTH:
                    kept += [body[kept_until:begin], b"null"]
                    kept_until = token.start() + depth - _ENTRY_DEPTH + 1
                depth -= count
    return b"".join((*kept, body[kept_until:]))
