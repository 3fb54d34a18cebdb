"""Child processes that development tools start, signal and wait for."""

import dataclasses
import os
import pathlib
import signal
import subprocess


@dataclasses.dataclass
class Daemon:
    """A process of a deployment, which may be started more than once.

    Attributes:
        name: Its name within the deployment.
        command: Program and arguments.
        log_path: File that the output is appended to.
        process: The operating system's process of the last start; None before
            the first one.
    """

    name: str
    command: list[str]
    log_path: pathlib.Path
    process: "subprocess.Popen[bytes] | None" = None

    def start(self) -> None:
        """Starts the process and appends its output to the log file."""
        with self.log_path.open("ab") as log:
            # pylint: disable-next=consider-using-with
            self.process = subprocess.Popen(
                self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def wait(self, timeout_s: float) -> int | None:
        """Waits until the process ends.

        Returns:
            Its exit status; None if it was never started or still runs.
        """
        if self.process is None:
            return None
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
