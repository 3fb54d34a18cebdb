"""Processes that development tools start and end by their ids."""

import dataclasses
import os
import pathlib
import signal
import subprocess


@dataclasses.dataclass
class Daemon:
    """One started process.

    Attributes:
        name: Its process id within the deployment.
        command: How it is started.
        log_path: Where its output goes.
        process: The running process.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Starts the process, its output appended to the log."""
        with self.log_path.open("ab") as log:
            # pylint: disable-next=consider-using-with
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the end of the process.

        Returns:
            Its exit status, or None when it still runs.
        """
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
