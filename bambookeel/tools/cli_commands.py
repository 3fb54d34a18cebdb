"""The subcommands of the command line that call the operators' API.

Each function receives the options and the subcommand's arguments, prints to
standard output or standard error, and returns the exit status.
"""

import dataclasses
import pathlib
import sys
import typing
import urllib.parse

from returns import result

from bambookeel.core import resources
from bambookeel.tools import cli_client
from bambookeel.tools import cli_output
from bambookeel.tools import resource_file


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Options of all subcommands.

    Attributes:
        client: Addresses and key of the API.
        is_json: Whether output is JSON instead of text.
        dry_run: Whether a change is checked without being applied.
        stale: Whether a read may return state that is not current.
        expected_version: The version that the resource must have for a change;
            None for any version.
        from_version: The version after which a watch starts; None for the
            current one.
        command_id: Id that makes a change idempotent; empty for a random one.
        team: The team that owns a new key; empty for none.
        operator: The operator who owns a new key; empty for none.
        undo: Whether a drain is cancelled.
    """

    client: cli_client.Client
    is_json: bool = False
    dry_run: bool = False
    stale: bool = False
    expected_version: int | None = None
    from_version: int | None = None
    command_id: str = ""
    team: str = ""
    operator: str = ""
    undo: bool = False


class UsageError(Exception):
    """The flags or arguments of a subcommand are wrong."""


def _print_error(text: str) -> None:
    print(text, file=sys.stderr)


def _print_answer(
    options: Options,
    answer: cli_client.Answer,
    render: typing.Callable[[dict[str, typing.Any]], str],
) -> int:
    """Prints an answer and returns the exit status.

    Args:
        options: Options with the output format.
        answer: The answer to print.
        render: Renders the document of a successful answer as text.

    Returns:
        The exit status for the answer.
    """
    status = cli_output.get_exit_status(answer)
    if options.is_json:
        print(cli_output.render_json(answer.document))
    elif status == cli_output.EXIT_OK:
        print(render(answer.document))
    else:
        _print_error(cli_output.render_refusal(answer))
    return status


def _parse_resource(arguments: list[str]) -> tuple[str, str]:
    """Parses a resource given as `KIND NAME` or `KIND/NAME`."""
    parts = arguments
    if len(arguments) == 1:
        parts = arguments[0].split("/")
    if len(parts) != 2 or not all(parts):
        raise UsageError("name one resource as KIND NAME or KIND/NAME")
    _check_kind(parts[0])
    return parts[0], parts[1]


def _check_kind(text: str) -> None:
    known = [kind.value for kind in resources.Kind]
    if text not in known:
        raise UsageError(f"kind {text!r} (accepted: {', '.join(known)})")


def _build_path(options: Options, *parts: str, **query: str) -> str:
    quoted = [urllib.parse.quote(part, safe="") for part in parts]
    if options.dry_run:
        query["dry_run"] = "1"
    if options.stale:
        query["stale"] = "1"
    text = urllib.parse.urlencode(query)
    return "/v1/" + "/".join(quoted) + (f"?{text}" if text else "")


def _build_headers(options: Options) -> dict[str, str]:
    headers = {}
    if options.expected_version is not None:
        headers["If-Match"] = str(options.expected_version)
    if options.command_id:
        headers["X-Command-Id"] = options.command_id
    return headers


def _render_change(document: dict[str, typing.Any]) -> str:
    if document.get("dry_run"):
        return "the change would be applied"
    return (
        f"applied in version {document['version']}"
        f" (command {document['command_id']})"
    )


def get_resources(options: Options, arguments: list[str]) -> int:
    """Runs `get KIND [NAME] [FIELD=VALUE...]`."""
    if not arguments:
        raise UsageError("name a kind")
    filters = dict(item.split("=", 1) for item in arguments if "=" in item)
    names = [item for item in arguments if "=" not in item]
    if len(names) == 2 or "/" in names[0]:
        kind, name = _parse_resource(names)
        path = _build_path(options, kind, name)
        answer = cli_client.send_request(options.client, "GET", path)
        return _print_answer(
            options, answer, lambda item: cli_output.render_resources([item])
        )
    _check_kind(names[0])
    path = _build_path(options, names[0], **filters)
    answer = cli_client.send_request(options.client, "GET", path)
    return _print_answer(
        options,
        answer,
        lambda document: cli_output.render_resources(document["items"])
        + f"\nversion {document['version']}"
        + (" (may be older than what holds)" if document["stale"] else ""),
    )


def apply_file(options: Options, arguments: list[str]) -> int:
    """Runs `apply FILE`, which applies the file's resources atomically."""
    if len(arguments) != 1:
        raise UsageError("name one file, or - for standard input")
    match resource_file.read_resources(arguments[0]):
        case result.Failure(found):
            for fault in found:
                _print_error(f"{arguments[0]}: {fault.place}: {fault.message}")
            return cli_output.EXIT_BAD_USAGE
        case result.Success(items):
            if options.expected_version is not None:
                items = [_set_expected_version(item, options) for item in items]
            answer = cli_client.send_request(
                options.client,
                "POST",
                _build_path(options, "bundle"),
                {"resources": items},
                _build_headers(
                    dataclasses.replace(options, expected_version=None)
                ),
            )
            return _print_answer(options, answer, _render_change)
    return cli_output.EXIT_BAD_USAGE


def _set_expected_version(item: typing.Any, options: Options) -> typing.Any:
    if not isinstance(item, dict):
        return item
    return {"expected_version": options.expected_version, **item}


def delete_resource(options: Options, arguments: list[str]) -> int:
    """Runs `delete KIND NAME`."""
    kind, name = _parse_resource(arguments)
    answer = cli_client.send_request(
        options.client,
        "DELETE",
        _build_path(options, kind, name),
        None,
        _build_headers(options),
    )
    return _print_answer(options, answer, _render_change)


def watch_changes(options: Options, arguments: list[str]) -> int:
    """Runs `watch [KIND]` until it is interrupted."""
    kind = arguments[0] if arguments else ""
    if kind:
        _check_kind(kind)
    version = options.from_version
    if version is None:
        answer = cli_client.send_request(options.client, "GET", "/v1/status")
        if answer.status != 200:
            return _print_answer(options, answer, cli_output.render_status)
        version = answer.document["version"]
    for item in cli_client.watch(options.client, version, kind):
        match item:
            case result.Success(document):
                _print_changes(options, document)
            case result.Failure(answer):
                return _print_answer(options, answer, str)
    return cli_output.EXIT_UNAVAILABLE


def _print_changes(options: Options, document: dict[str, typing.Any]) -> None:
    if options.is_json:
        print(cli_output.render_json(document), flush=True)
        return
    for item in document["changes"]:
        resource = f"{item['kind']}/{item['name']}"
        if item.get("deleted"):
            text = "deleted"
        else:
            state = item["status"]["state"] or "-"
            spec = cli_output.render_spec(item["spec"])
            text = f"state={state} {spec}"
        print(f"{document['version']} {resource} {text}", flush=True)


def explain_resource(options: Options, arguments: list[str]) -> int:
    """Runs `explain KIND NAME`."""
    kind, name = _parse_resource(arguments)
    path = _build_path(options, kind, name)
    answer = cli_client.send_request(options.client, "GET", path)
    return _print_answer(options, answer, cli_output.render_explanation)


def drain_instance(options: Options, arguments: list[str]) -> int:
    """Runs `drain INSTANCE`; `--undo` cancels the drain."""
    if len(arguments) != 1:
        raise UsageError("name one instance")
    path = _build_path(
        dataclasses.replace(options, dry_run=False), "instance", arguments[0]
    )
    current = cli_client.send_request(options.client, "GET", path)
    if current.status != 200:
        return _print_answer(options, current, str)
    version = options.expected_version or current.document["version"]
    spec = {**current.document["spec"], "drain_wanted": not options.undo}
    answer = cli_client.send_request(
        options.client,
        "PUT",
        _build_path(options, "instance", arguments[0]),
        spec,
        _build_headers(dataclasses.replace(options, expected_version=version)),
    )
    return _print_answer(options, answer, _render_change)


def show_status(options: Options, arguments: list[str]) -> int:
    """Runs `status`."""
    if arguments:
        raise UsageError("takes no arguments")
    answer = cli_client.send_request(options.client, "GET", "/v1/status")
    return _print_answer(options, answer, cli_output.render_status)


def save_snapshot(options: Options, arguments: list[str]) -> int:
    """Runs `snapshot [FILE]`, which saves the declared resources as a bundle.

    Keys are left out, as their hashes never leave the control processes.
    Dispatchers are left out, as only the control leader writes them.
    """
    if len(arguments) > 1:
        raise UsageError("name one file, or none for standard output")
    omitted_kinds = (resources.Kind.KEY, resources.Kind.DISPATCHER)
    items = []
    version = 0
    for kind in resources.Kind:
        if kind in omitted_kinds:
            continue
        path = _build_path(options, kind.value)
        answer = cli_client.send_request(options.client, "GET", path)
        if answer.status != 200:
            return _print_answer(options, answer, str)
        version = max(version, answer.document["version"])
        for item in answer.document["items"]:
            plain = {name: item[name] for name in ("kind", "name", "spec")}
            items.append(plain)
    text = cli_output.render_json({"version": version, "resources": items})
    if not arguments:
        print(text)
        return cli_output.EXIT_OK
    pathlib.Path(arguments[0]).write_text(text + "\n", encoding="utf-8")
    print(f"{len(items)} resources up to version {version}")
    return cli_output.EXIT_OK


def create_key(options: Options, arguments: list[str]) -> int:
    """Runs `create-key NAME` with `--team` or `--operator`."""
    if len(arguments) != 1 or bool(options.team) == bool(options.operator):
        raise UsageError("name one key, and --team or --operator")
    owner = {"operator": options.operator}
    if options.team:
        owner = {"team": options.team}
    answer = cli_client.send_request(
        options.client,
        "POST",
        _build_path(options, "key", arguments[0]),
        owner,
        _build_headers(options),
    )
    return _print_answer(
        options,
        answer,
        lambda document: str(
            document.get("secret") or document.get("detail") or "it is valid"
        ),
    )


def withdraw_key(options: Options, arguments: list[str]) -> int:
    """Runs `withdraw-key NAME`."""
    if len(arguments) != 1:
        raise UsageError("name one key")
    answer = cli_client.send_request(
        options.client,
        "PUT",
        _build_path(options, "key", arguments[0]),
        {"withdrawn": True},
        _build_headers(options),
    )
    return _print_answer(options, answer, _render_change)
