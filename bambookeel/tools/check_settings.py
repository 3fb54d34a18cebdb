"""Validates settings files and resource files without starting a process.

The role of a settings file is recognised by the members of its document. A
check returns all faults of a file, each with its place, so that one run reports
everything.
"""

import pathlib

import pyjson5
from returns import result

from bambookeel.core import checking
from bambookeel.core import faults
from bambookeel.core import ids
from bambookeel.core import settings as core_settings
from bambookeel.runtime import settings_file
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from bambookeel.tools import resource_file

_ACTOR = commands.OPERATOR_PREFIX + "check"


def check_resources(text: str) -> tuple[faults.Fault, ...]:
    """Checks the text of a resource file.

    The resources are checked as one bundle against an empty state.

    Args:
        text: JSON with comments.

    Returns:
        The faults; empty if the resources are valid.
    """
    match resource_file.parse_resources(text):
        case result.Failure(found):
            return found
        case result.Success(items):
            changes, found = _build_changes(items)
    if found:
        return tuple(found)
    command = commands.Command(ids.CommandId("check"), _ACTOR, changes)
    outcome = apply.dry_run_command(model.State(), command)
    return tuple(
        faults.Fault(
            fault.place.replace("changes[", "resources[", 1), fault.message
        )
        for fault in outcome.faults
    )


def _build_changes(
    items: list,
) -> tuple[tuple[commands.TaggedChange, ...], list[faults.Fault]]:
    changes = []
    found: list[faults.Fault] = []
    for i, item in enumerate(items):
        plain = (
            {**item, "expected_version": 0} if isinstance(item, dict) else item
        )
        match checking.check_record(plain, commands.PutSpec):
            case result.Failure(item_faults):
                for fault in item_faults:
                    place = f"resources[{i}].{fault.place}"
                    found.append(faults.Fault(place, fault.message))
            case result.Success(change):
                changes.append(commands.wrap_change(change))
    return tuple(changes), found


def _check_text(text: str) -> tuple[faults.Fault, ...]:
    """Checks the text of a settings file or resource file.

    Args:
        text: JSON with comments.

    Returns:
        The faults; empty if the text is valid.
    """
    try:
        data = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        return (faults.Fault("syntax", str(error)),)
    except RecursionError:
        return (faults.Fault("syntax", "nested too deeply"),)
    document = data if isinstance(data, dict) else {}
    if "callers_listen" in document:
        record_type: type = core_settings.EntrySettings
    elif "api_listen" in document:
        record_type = core_settings.ControlSettings
    elif (
        "resources" in document or "kind" in document or isinstance(data, list)
    ):
        return check_resources(text)
    else:
        message = (
            "neither an entry's settings (callers_listen), nor a control"
            " process's (api_listen), nor resources"
        )
        return (faults.Fault("top", message),)
    match settings_file.parse_settings(text, record_type):
        case result.Failure(found):
            return found
        case result.Success(record):
            return _check_peers(record)
    return ()


def _check_peers(
    record: core_settings.EntrySettings | core_settings.ControlSettings,
) -> tuple[faults.Fault, ...]:
    """Checks that a process and its peers are consistent.

    Ids and addresses must be unique, and the process must be among its peers
    with the same data centre.

    Args:
        record: Settings whose fields are valid.

    Returns:
        The faults; empty if the peers are consistent.
    """
    found = []
    seen: dict[str, str] = {}
    for group in ("control", "entries"):
        for i, peer in enumerate(getattr(record, group)):
            place = f"{group}[{i}]"
            for value in (peer.process_id, peer.address):
                if value in seen:
                    message = f"{value!r} is also at {seen[value]}"
                    found.append(faults.Fault(place, message))
                seen.setdefault(value, place)
    own_peers = [
        peer
        for peer in (*record.control, *record.entries)
        if peer.process_id == record.process_id
    ]
    if not own_peers:
        message = f"{record.process_id!r} is not among control and entries"
        found.append(faults.Fault("process_id", message))
    for peer in own_peers:
        if peer.data_centre == record.data_centre:
            continue
        message = (
            f"{record.data_centre!r}, but the list of processes says"
            f" {peer.data_centre!r}"
        )
        found.append(faults.Fault("data_centre", message))
    return tuple(found)


def check_file(path: str) -> tuple[faults.Fault, ...]:
    """Checks one settings file or resource file.

    Args:
        path: Path of the file.

    Returns:
        The faults; empty if the file is valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return (faults.Fault("file", str(error)),)
    return _check_text(text)
