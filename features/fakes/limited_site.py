"""A site of nodes with low limits, and crowds of clients nobody controls."""

import pathlib
import signal
import subprocess
import sys
import time

from features.fakes import platform_site

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_SAMPLE_S = 0.05
_MB = 1024
# A node that has taken this much is far beyond any bound; the crowd is ended
# before the machine that runs the tests is short of memory.
_STOP_MB = 1_000


class LimitedNode(platform_site.Node):
    """A node whose settings name the limits of its machine."""

    memory_mb = 0
    max_fds = 0

    def build_settings(self):
        """Builds the content of its settings file."""
        return {
            **super().build_settings(),
            "limits": {"memory_mb": self.memory_mb, "max_fds": self.max_fds},
        }

    def get_metrics_address(self):
        """Returns the host and port at which its metrics are read."""
        return self.ip, 9109

    def read_memory_mb(self, field="VmRSS"):
        """Returns a field of the process's memory, in MB."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        for line in status.read_text(encoding="utf-8").splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / _MB
        # A process that has ended has no memory.
        return 0.0

    def count_descriptors(self):
        """Counts the open descriptors of the process."""
        return len(list(pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir()))


class LimitedSite(platform_site.Site):
    """Nodes whose limits are set before their start."""

    node_class = LimitedNode


class Crowd:
    """A crowd of clients in a process of its own."""

    def __init__(self, node, kind, port_kind, address, count, source=""):
        self._node = node
        self.peak_fds = 0
        command = [sys.executable, "-m", "features.fakes.client_crowd"]
        command += [kind, port_kind, address[0], str(address[1]), str(count)]
        # pylint: disable-next=consider-using-with
        self._process = subprocess.Popen([*command, source], cwd=_ROOT)

    def watch(self, seconds):
        """Samples memory and descriptors of the node while the crowd runs."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            assert not self._node.has_ended(), "the node has ended"
            self.peak_fds = max(self.peak_fds, self._node.count_descriptors())
            used_mb = self._node.read_memory_mb()
            if used_mb > _STOP_MB:
                self.end()
                return
            time.sleep(_SAMPLE_S)
        assert self._process.poll() is None, "the crowd has ended"

    def freeze(self):
        """Makes the crowd keep its connections but send and read nothing."""
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGSTOP)

    def end(self):
        """Ends the crowd, whose connections are then closed."""
        self._process.kill()
        self._process.wait()
