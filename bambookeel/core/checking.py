"""Converts plain data to frozen data classes and reports every fault.

`msgspec.convert` stops at the first fault, but operators want to see all of
them in one run. This module converts field by field, collects the faults with
their places, and returns the record only if there are no faults.
"""

import dataclasses
import difflib
import enum
import functools
import reprlib
import typing

import msgspec
from returns import result

from bambookeel.core import faults

# Shortens values in fault messages, which appear in API answers and logs.
_REPR = reprlib.Repr()
_REPR.maxstring = 80
_REPR.maxother = 80
_MAX_NAME_CHARS = 80

CheckResult = result.Result[typing.Any, tuple[faults.Fault, ...]]


def _is_record_type(annotation: typing.Any) -> bool:
    return isinstance(annotation, type) and dataclasses.is_dataclass(annotation)


def _check_value(
    data: typing.Any, annotation: typing.Any, place: str
) -> tuple[typing.Any, list[faults.Fault]]:
    """Converts one value of any type.

    Args:
        data: Plain data, as decoded from JSON.
        annotation: The type to convert it to.
        place: Path of the value, for fault messages.

    Returns:
        The converted value, which must not be used if there are faults, and
        the faults.
    """
    if _is_record_type(annotation):
        return _check_record(data, annotation, place)
    arguments = typing.get_args(annotation)
    is_tuple = typing.get_origin(annotation) is tuple
    if is_tuple and _is_record_type(arguments[0]) and isinstance(data, list):
        return _check_records(data, arguments[0], place)
    try:
        return msgspec.convert(data, annotation), []
    except msgspec.ValidationError as error:
        message = (
            f"{error} (found {_REPR.repr(data)}{_list_accepted(annotation)})"
        )
        return None, [faults.Fault(place, message)]


def _list_accepted(annotation: typing.Any) -> str:
    if not isinstance(annotation, type) or not issubclass(
        annotation, enum.Enum
    ):
        return ""
    accepted = ", ".join(str(member.value) for member in annotation)
    return f"; accepted: {accepted}"


def _check_records(
    items: list[typing.Any], record_type: type, place: str
) -> tuple[typing.Any, list[faults.Fault]]:
    """Converts a list of records.

    Args:
        items: Plain data, one item for each record.
        record_type: Data class of all records in the list.
        place: Path of the list, for fault messages.

    Returns:
        The records as a tuple, and the faults of all records.
    """
    records = []
    found: list[faults.Fault] = []
    for i, item in enumerate(items):
        record, item_faults = _check_record(item, record_type, f"{place}[{i}]")
        records.append(record)
        found.extend(item_faults)
    return tuple(records), found


def _check_record(
    data: typing.Any, record_type: type, place: str
) -> tuple[typing.Any, list[faults.Fault]]:
    """Converts one record field by field.

    Args:
        data: Plain data; anything but an object is a fault.
        record_type: Data class of the record.
        place: Path of the record; empty for the top-level record.

    Returns:
        The record, or None if there are faults, and the faults.
    """
    if not isinstance(data, dict):
        message = f"expected an object, found {_REPR.repr(data)}"
        return None, [faults.Fault(place or "top", message)]
    hints = _get_hints(record_type)
    prefix = f"{place}." if place else ""
    found = _find_unknown_fields(data, list(hints), prefix)
    values = {}
    for field in dataclasses.fields(record_type):
        field_place = prefix + field.name
        if field.name not in data:
            if _is_required(field):
                message = "required field is missing"
                found.append(faults.Fault(field_place, message))
            continue
        value, field_faults = _check_value(
            data[field.name], hints[field.name], field_place
        )
        values[field.name] = value
        found.extend(field_faults)
    if found:
        return None, found
    return record_type(**values), []


@functools.cache
def _get_hints(record_type: type) -> dict[str, typing.Any]:
    return typing.get_type_hints(record_type, include_extras=True)


def _is_required(field: typing.Any) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _find_unknown_fields(
    data: dict[str, typing.Any], known: list[str], prefix: str
) -> list[faults.Fault]:
    """Finds fields of an object that its record type does not have.

    Args:
        data: The object.
        known: Names of the record type's fields.
        prefix: Prefix of field paths in fault messages: empty, or the record's
            path with a dot.

    Returns:
        A fault for each unknown field, with the closest known name if any.
    """
    found = []
    for name in data:
        if name in known:
            continue
        close = difflib.get_close_matches(name, known, n=1)
        hint = f"; did you mean {close[0]!r}?" if close else ""
        accepted = ", ".join(known)
        message = f"unknown field{hint} (accepted: {accepted})"
        found.append(faults.Fault(prefix + name[:_MAX_NAME_CHARS], message))
    return found


def check_record(data: typing.Any, record_type: type) -> CheckResult:
    """Checks plain data and converts it to a data class.

    Args:
        data: Plain data, as decoded from JSON.
        record_type: The frozen data class to convert it to.

    Returns:
        Success with the record, or Failure with every fault.
    """
    record, found = _check_record(data, record_type, "")
    if found:
        return result.Failure(tuple(found))
    return result.Success(record)
