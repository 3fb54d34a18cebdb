"""Reads settings files: JSON with comments.

Reads a file into a data class of `core.settings` and returns the checked
record, or every fault with its place. Daemons call `load_or_exit`, which prints
the faults and exits with status 2 before any socket is opened.
"""

import pathlib
import sys
import typing

import pyjson5
from returns import result

from bambookeel.core import checking
from bambookeel.core import faults

EXIT_BAD_SETTINGS = 2


def parse_settings(text: str, record_type: type) -> checking.CheckResult:
    """Parses and checks the text of a settings file.

    Args:
        text: JSON with comments.
        record_type: Data class of the settings.

    Returns:
        Success with the record, or Failure with every fault.
    """
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return result.Failure((faults.Fault("syntax", str(error)),))
    return checking.check_record(data, record_type)


def load_settings(path: str, record_type: type) -> checking.CheckResult:
    """Reads and checks a settings file.

    Args:
        path: Path of the settings file.
        record_type: Data class of the settings.

    Returns:
        Success with the record, or Failure with every fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure((faults.Fault("file", str(error)),))
    return parse_settings(text, record_type)


def load_or_exit(path: str, record_type: type) -> typing.Any:
    """Reads a settings file, or prints its faults and exits.

    Args:
        path: Path of the settings file.
        record_type: Data class of the settings.

    Returns:
        The record, if the file has no faults.
    """
    match load_settings(path, record_type):
        case result.Success(record):
            return record
        case result.Failure(found):
            for fault in found:
                print(
                    f"{path}: {fault.place}: {fault.message}", file=sys.stderr
                )
    sys.exit(EXIT_BAD_SETTINGS)
