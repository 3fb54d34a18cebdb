"""The command line `bambookeel` for operators.

It reads the flags and the environment, runs a subcommand and exits with one of
these statuses: 0 success, 1 refused as invalid, 2 bad usage, 3 conflict, 4 not
found, 5 no control process could answer, 6 the key does not allow the request.
"""

from collections.abc import Callable
import os
import pathlib
import sys

from absl import app
from absl import flags

from bambookeel.tools import check_settings
from bambookeel.tools import cli_client
from bambookeel.tools import cli_commands
from bambookeel.tools import cli_output
from bambookeel.tools import explain_job
from bambookeel.tools import timeline

_ADDRESS = flags.DEFINE_list(
    "address",
    None,
    "Control addresses, ip:port,...; default is BAMBOOKEEL_ADDRESS.",
)
_KEY = flags.DEFINE_string(
    "key", None, "The operator's key; default is --key_file or BAMBOOKEEL_KEY."
)
_KEY_FILE = flags.DEFINE_string("key_file", None, "File that contains the key.")
_OUTPUT = flags.DEFINE_enum(
    "output", "text", ["text", "json"], "Output as text or as JSON."
)
_DRY_RUN = flags.DEFINE_bool(
    "dry_run", False, "Check the change without applying it."
)
_STALE = flags.DEFINE_bool(
    "stale", False, "Accept state that may not be current."
)
_IF_VERSION = flags.DEFINE_integer(
    "if_version",
    None,
    "Change only if the resource has this version; 0 if it must not exist.",
    lower_bound=0,
)
_FROM_VERSION = flags.DEFINE_integer(
    "from_version", None, "Watch from this version.", lower_bound=0
)
_COMMAND_ID = flags.DEFINE_string(
    "command_id", "", "Id that makes the change idempotent."
)
_TEAM = flags.DEFINE_string("team", "", "The team of a new key.")
_OPERATOR = flags.DEFINE_string("operator", "", "The operator of a new key.")
_UNDO = flags.DEFINE_bool("undo", False, "Cancel a drain.")
_TRIES = flags.DEFINE_integer(
    "tries",
    6,
    "How often to try all addresses.",
    lower_bound=1,
    upper_bound=100,
)

Command = Callable[[cli_commands.Options, list[str]], int]
_COMMANDS: dict[str, Command] = {
    "get": cli_commands.get_resources,
    "apply": cli_commands.apply_file,
    "delete": cli_commands.delete_resource,
    "watch": cli_commands.watch_changes,
    "explain": cli_commands.explain_resource,
    "drain": cli_commands.drain_instance,
    "status": cli_commands.show_status,
    "snapshot": cli_commands.save_snapshot,
    "create-key": cli_commands.create_key,
    "withdraw-key": cli_commands.withdraw_key,
}
_LOCAL_COMMANDS = ("check-settings", "explain-job", "timeline")


def _read_key() -> str:
    if _KEY.value is not None:
        return _KEY.value
    if _KEY_FILE.value is not None:
        try:
            text = pathlib.Path(_KEY_FILE.value).read_text(encoding="utf-8")
        except OSError as error:
            raise cli_commands.UsageError(f"--key_file: {error}") from error
        return text.strip()
    return os.environ.get("BAMBOOKEEL_KEY", "")


def _build_options() -> cli_commands.Options:
    """Builds the subcommand's options from flags and environment.

    Returns:
        The options with a client for the API.

    Raises:
        cli_commands.UsageError: If there is no address or no usable key.
    """
    addresses = _ADDRESS.value
    if addresses is None:
        text = os.environ.get("BAMBOOKEEL_ADDRESS", "")
        addresses = [item for item in text.split(",") if item]
    if not addresses:
        raise cli_commands.UsageError(
            "no address (accepted: --address or BAMBOOKEEL_ADDRESS)"
        )
    key = _read_key()
    if not key or not key.isascii() or not key.isprintable():
        raise cli_commands.UsageError(
            "no usable key (accepted: --key, --key_file or BAMBOOKEEL_KEY)"
        )
    return cli_commands.Options(
        client=cli_client.Client(tuple(addresses), key, _TRIES.value),
        is_json=_OUTPUT.value == "json",
        dry_run=_DRY_RUN.value,
        stale=_STALE.value,
        expected_version=_IF_VERSION.value,
        from_version=_FROM_VERSION.value,
        command_id=_COMMAND_ID.value,
        team=_TEAM.value,
        operator=_OPERATOR.value,
        undo=_UNDO.value,
    )


def _run_check_settings(paths: list[str]) -> int:
    """Runs `check-settings FILE...`.

    Args:
        paths: Paths of the files to check.

    Returns:
        0 if all files are valid, otherwise 2.
    """
    if not paths:
        raise cli_commands.UsageError("name one or more files")
    status = cli_output.EXIT_OK
    rows = []
    for path in paths:
        found = check_settings.check_file(path)
        if found:
            status = cli_output.EXIT_BAD_USAGE
        for fault in found:
            rows.append(
                {"file": path, "place": fault.place, "message": fault.message}
            )
    if _OUTPUT.value == "json":
        print(cli_output.render_json({"faults": rows}))
        return status
    for row in rows:
        text = f"{row['file']}: {row['place']}: {row['message']}"
        print(text, file=sys.stderr)
    if not rows:
        print(f"{len(paths)} files are valid")
    return status


def run_command(arguments: list[str]) -> int:
    """Runs one subcommand.

    Args:
        arguments: Name of the subcommand, followed by its arguments.

    Returns:
        The exit status, as listed in the module's docstring.
    """
    known = [*_COMMANDS, *_LOCAL_COMMANDS]
    name, rest = (arguments[0], arguments[1:]) if arguments else ("", [])
    try:
        if name == "check-settings":
            return _run_check_settings(rest)
        if name == "explain-job":
            return explain_job.main(rest)
        if name == "timeline":
            return timeline.main(rest)
        command = _COMMANDS.get(name)
        if command is None:
            raise cli_commands.UsageError(
                f"subcommand {name!r} (accepted: {', '.join(known)})"
            )
        return command(_build_options(), rest)
    except cli_commands.UsageError as error:
        print(f"bambookeel {name}: {error}", file=sys.stderr)
        return cli_output.EXIT_BAD_USAGE
    except KeyboardInterrupt:
        return cli_output.EXIT_OK


def main() -> None:
    """Runs the command line and exits with its status."""
    app.run(lambda arguments: sys.exit(run_command(arguments[1:])))


if __name__ == "__main__":
    main()
