"""Reads files of resources for the command line: JSON with comments.

A file holds one resource (`kind`, `name` and `spec`, or `delete`), a list of
them, or an object with the member `resources`. Gives plain items for a bundle,
or the faults with their places.
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
    """Parses the text of a file of resources.

    Args:
        text: JSON with comments.

    Returns:
        Success with plain items, or Failure with the faults.
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
    """Reads a file of resources.

    Args:
        path: The file; `-` for standard input.

    Returns:
        Success with plain items, or Failure with the faults.
    """
    try:
        if path == "-":
            text = sys.stdin.read()
        else:
            text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return result.Failure((faults.Fault("file", str(error)),))
    return parse_resources(text)
