"""Reads resource files, which are JSON with comments, for the command line.

A file contains one resource (`kind`, `name` and `spec`, or `delete`), a list of
resources, or an object with the member `resources`.
"""

import pathlib
import sys
import typing

import pyjson5
from returns import result

from bambookeel.core import checking
from bambookeel.core import faults


def _find_items(data: typing.Any) -> list[typing.Any] | None:
    if isinstance(data, list):
        return data
    if isinstance(data, dict) and isinstance(data.get("resources"), list):
        return data["resources"]
    if isinstance(data, dict) and "kind" in data:
        return [data]
    return None


def parse_resources(text: str) -> checking.CheckResult:
    """Parses the text of a resource file.

    Args:
        text: JSON with comments.

    Returns:
        Success with the resources as plain items of a bundle, which are not
        checked yet, or Failure with the faults and their places.
    """
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return result.Failure((faults.Fault("syntax", str(error)),))
    except RecursionError:
        return result.Failure((faults.Fault("syntax", "nested too deeply"),))
    items = _find_items(data)
    if items:
        return result.Success(items)
    message = (
        "no resource found (accepted: an object with kind, name and spec; a"
        " list of such; or an object with the member resources)"
    )
    return result.Failure((faults.Fault("top", message),))


def read_resources(path: str) -> checking.CheckResult:
    """Reads and parses a resource file.

    Args:
        path: Path of the file; `-` for standard input.

    Returns:
        Success with the resources as plain items of a bundle, or Failure with
        the faults and their places.
    """
    try:
        if path == "-":
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure((faults.Fault("file", str(error)),))
    return parse_resources(text)
