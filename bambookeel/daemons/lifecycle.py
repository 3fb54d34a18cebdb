"""Runs a daemon from loading its settings until a signal stops it."""

from collections.abc import Callable
import signal
import typing

from absl import app
from absl import flags
import gevent
import gevent.event

from bambookeel.runtime import logs
from bambookeel.runtime import settings_file

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Settings file, JSON with comments."
)


class Process(typing.Protocol):
    """Interface of a control or entry process."""

    def start(self) -> None:
        """Starts all tasks and opens the sockets."""

    def stop(self) -> None:
        """Stops the process without interrupting requests."""


def run_daemon(
    settings_type: type, build: Callable[[typing.Any], Process]
) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then stops it.

    Args:
        settings_type: Data class of the daemon's settings.
        build: Builds the process from its settings without opening sockets.
    """

    def run_process(_arguments: list[str]) -> None:
        path = typing.cast(str, _SETTINGS.value)
        settings = settings_file.load_or_exit(path, settings_type)
        logs.set_up_logs(settings.process_id, settings.data_centre)
        stop_requested = gevent.event.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, stop_requested.set)
        process = build(settings)
        process.start()
        stop_requested.wait()
        process.stop()

    flags.mark_flag_as_required("settings")
    app.run(run_process)
