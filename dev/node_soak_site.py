"""Nodes as processes for the soak, each behind relays, and their faults.

Whatever reaches a node passes a relay of its own: other nodes, callers, workers
and operators. Faults come from outside: signals, relays, limits on its files,
the offset of its clock, an emptied folder.
"""

import os
import pathlib
import resource
import shutil
import subprocess
import sys
import typing

import gevent

from dev import relay
from features.fakes import platform_site

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# A node's own sockets are this far above those of its relays.
_BEHIND = 40
FRONT, READY, CONTROL, PEER = range(4)
# Room that a disk still has when it is said to be full.
_LAST_BYTES = 4_096


class SoakNode(platform_site.Node):
    """A node behind relays."""

    def __init__(self, site: typing.Any, number: int, has_disk: bool) -> None:
        super().__init__(site, number, has_disk)
        self.has_disk = has_disk
        self.seeds_from = 0
        self.command = ("-m", "dev.skewed_node")
        self._offset_file = self.folder / "clock-offset"
        self.set_clock(0)
        self.environment = {
            "BAMBOOKEEL_LISTEN": self._get_own(PEER),
            "SOAK_CLOCK_OFFSET_FILE": str(self._offset_file),
            "PYTHONPATH": str(_ROOT),
        }
        self.relays = {
            kind: relay.Relay(self._get_front(kind), self._get_own(kind))
            for kind in (FRONT, CONTROL, PEER)
        }
        for each in self.relays.values():
            each.start()

    def _get_front(self, kind: int) -> str:
        return f"{self.ip}:{self._site.base_port + kind}"

    def _get_own(self, kind: int) -> str:
        return f"{self.ip}:{self._site.base_port + _BEHIND + kind}"

    def build_settings(self) -> dict[str, typing.Any]:
        """Builds the settings file, with seeds that may have been exchanged.

        Returns:
            The settings.
        """
        settings: dict[str, typing.Any] = super().build_settings()
        settings["bind_addrs"]["frontend"] = self._get_own(FRONT)
        settings["bind_addrs"]["control_plane"] = self._get_own(CONTROL)
        count = len(self._site.nodes) or 3
        settings["seed_nodes"] = [
            f"127.0.{self._site.net}.{(self.seeds_from + i) % count + 1}:1"
            for i in range(3)
        ]
        return settings

    def start(self) -> None:
        """Starts it; its output goes to a file that no limit touches."""
        self.write_settings()
        self._starts += 1
        variables = {
            **os.environ,
            "BAMBOOKEEL_CONFIG": str(self.folder / "settings.json"),
            **self.environment,
        }
        # pylint: disable-next=consider-using-with
        self.process = subprocess.Popen(
            [sys.executable, *self.command],
            cwd=_ROOT,
            env=variables,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        gevent.spawn(self._keep_output, self.process.stdout)

    def _keep_output(self, stream: typing.Any) -> None:
        with open(self.folder / "log", "ab") as log:
            while True:
                data = stream.read1(65_536)
                if not data:
                    return
                log.write(data)
                log.flush()

    # --- Faults ---

    def set_clock(self, offset_ms: int) -> None:
        """Puts the wall clock ahead or back.

        Args:
            offset_ms: By how much.
        """
        # A reader must never see half a number.
        fresh = self._offset_file.with_suffix(".new")
        fresh.write_text(str(offset_ms), encoding="utf-8")
        fresh.rename(self._offset_file)

    def kill(self) -> None:
        """Kills it at once."""
        self.process.kill()
        self.process.wait()

    def wipe(self) -> None:
        """Kills it and empties its disk."""
        self.kill()
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def fill_disk(self) -> None:
        """Leaves hardly any room for its files to grow."""
        sizes = [
            path.stat().st_size
            for path in (self.folder / "data").rglob("*")
            if path.is_file()
        ]
        limit = max(sizes, default=0) + _LAST_BYTES
        self._limit_files(limit)

    def free_disk(self) -> None:
        """Gives its files room again."""
        if not self.has_ended():
            self._limit_files(resource.RLIM_INFINITY)

    def _limit_files(self, limit: int) -> None:
        kind = resource.RLIMIT_FSIZE
        _, hard = resource.prlimit(self.process.pid, kind)
        resource.prlimit(self.process.pid, kind, (limit, hard))

    def heal(self) -> None:
        """Lets everything reach it again."""
        for each in self.relays.values():
            each.heal()
            each.set_delay(0)

    def end(self) -> None:
        """Ends the process and the relays."""
        super().end()
        for each in self.relays.values():
            each.stop()


class SoakSite(platform_site.Site):
    """Nodes behind relays, and workers."""

    node_class = SoakNode
