"""Entry point of the `bambookeel-control` daemon."""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
from bambookeel.control import process  # noqa: E402
from bambookeel.core import settings  # noqa: E402
from bambookeel.daemons import lifecycle  # noqa: E402


def main() -> None:
    """Runs the daemon until a signal stops it."""
    lifecycle.run_daemon(
        settings.ControlSettings, process.ControlProcess.from_config
    )


if __name__ == "__main__":
    main()
