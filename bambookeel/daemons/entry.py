"""Entry point of the `bambookeel-entry` daemon."""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
from bambookeel.core import settings  # noqa: E402
from bambookeel.daemons import lifecycle  # noqa: E402
from bambookeel.entry import process  # noqa: E402


def main() -> None:
    """Runs the daemon until a signal stops it."""
    lifecycle.run_daemon(
        settings.EntrySettings, process.EntryProcess.from_config
    )


if __name__ == "__main__":
    main()
