"""The nodes of the node soak, each a process behind relays, and their faults.

Other nodes, callers, workers and operators reach a node through its relays.
Faults are injected from outside the process: by signals, relays, a limit on the
size of its files, an offset of its wall clock, or by emptying its data folder.
"""

import os
import pathlib
import resource
import shutil
import subprocess
import sys
import typing

import gevent

from dev import node_soak_worker
from dev import relay
from features.fakes import platform_site

_ROOT = pathlib.Path(__file__).resolve().parent.parent
# Difference between the port of a node's socket and that of the relay in front
# of it.
_NODE_PORT_OFFSET = 40
DATA_CENTRES = ("north", "south", "east")
FRONT, READY, CONTROL, PEER = range(4)
# Bytes by which files can still grow on a disk that is simulated as full.
_FREE_BYTES_ON_FULL_DISK = 4_096


class SoakNode(platform_site.Node):
    """A node behind relays, and the faults that can be injected into it."""

    def __init__(self, site: typing.Any, number: int, has_disk: bool) -> None:
        super().__init__(site, number, has_disk)
        self.has_disk = has_disk
        self.first_seed_node = 0
        self.command = ("-m", "dev.skewed_node")
        self._offset_file = self.folder / "clock-offset"
        self.set_clock_offset(0)
        self.environment = {
            "BAMBOOKEEL_LISTEN": self._get_node_address(PEER),
            "SOAK_CLOCK_OFFSET_FILE": str(self._offset_file),
            "PYTHONPATH": str(_ROOT),
        }
        self.relays = {
            kind: relay.Relay(
                self._get_relay_address(kind), self._get_node_address(kind)
            )
            for kind in (FRONT, CONTROL, PEER)
        }
        for node_relay in self.relays.values():
            node_relay.start()

    def _get_relay_address(self, port_kind: int) -> str:
        return f"{self.ip}:{self._site.base_port + port_kind}"

    def _get_node_address(self, port_kind: int) -> str:
        return (
            f"{self.ip}:{self._site.base_port + _NODE_PORT_OFFSET + port_kind}"
        )

    def build_settings(self) -> dict[str, typing.Any]:
        """Builds the settings, with addresses behind the node's relays.

        The seed nodes are three successive nodes from `first_seed_node` on.

        Returns:
            The contents of the settings file.
        """
        settings: dict[str, typing.Any] = super().build_settings()
        settings["bind_addrs"]["frontend"] = self._get_node_address(FRONT)
        settings["bind_addrs"]["control_plane"] = self._get_node_address(
            CONTROL
        )
        settings["zones"] = dict.fromkeys(DATA_CENTRES, "region")
        count = len(self._site.nodes) or 3
        settings["seed_nodes"] = [
            f"127.0.{self._site.net}.{(self.first_seed_node + i) % count + 1}:1"
            for i in range(3)
        ]
        return settings

    def start(self) -> None:
        """Starts the node.

        The soak writes the node's output to the log file, so that the limit on
        the node's files does not apply to it.
        """
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
        gevent.spawn(self._append_output_to_log, self.process.stdout)

    def _append_output_to_log(self, stream: typing.Any) -> None:
        with open(self.folder / "log", "ab") as log:
            while True:
                data = stream.read1(65_536)
                if not data:
                    return
                log.write(data)
                log.flush()

    # --- Faults ---

    def set_clock_offset(self, offset_ms: int) -> None:
        """Sets the node's wall clock ahead or back.

        Args:
            offset_ms: Offset from the machine's clock; negative to set it back.
        """
        # Replaces the file atomically, so that no reader sees part of a number.
        new_file = self._offset_file.with_suffix(".new")
        new_file.write_text(str(offset_ms), encoding="utf-8")
        new_file.rename(self._offset_file)

    def kill(self) -> None:
        """Kills the node with SIGKILL."""
        self.process.kill()
        self.process.wait()

    def wipe(self) -> None:
        """Kills the node and removes its data folder."""
        self.kill()
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def fill_disk(self) -> None:
        """Simulates a full disk: files can hardly grow any more.

        The limit on the size of a file is set just above the largest one.
        """
        sizes = [
            path.stat().st_size
            for path in (self.folder / "data").rglob("*")
            if path.is_file()
        ]
        limit = max(sizes, default=0) + _FREE_BYTES_ON_FULL_DISK
        self._limit_files(limit)

    def free_disk(self) -> None:
        """Removes the limit on the size of the node's files."""
        if not self.has_ended():
            self._limit_files(resource.RLIM_INFINITY)

    def _limit_files(self, limit: int) -> None:
        kind = resource.RLIMIT_FSIZE
        _, hard = resource.prlimit(self.process.pid, kind)
        resource.prlimit(self.process.pid, kind, (limit, hard))

    def heal(self) -> None:
        """Ends all cuts and delays of the node's connections."""
        for node_relay in self.relays.values():
            node_relay.heal()
            node_relay.set_delay(0)

    def end(self) -> None:
        """Kills the process and stops the relays."""
        super().end()
        for node_relay in self.relays.values():
            node_relay.stop()


class SoakSite(platform_site.Site):
    """A site with nodes behind relays and workers that can be cut off."""

    node_class = SoakNode
    worker_class = node_soak_worker.SoakWorker
    workers: list[node_soak_worker.SoakWorker]

    def __init__(self, *arguments: typing.Any) -> None:
        super().__init__(*arguments)
        # Number of injected crashes under each task.
        self.crashes_by_task: dict[str, int] = {}
        for i, worker in enumerate(self.workers):
            worker.data_centre = DATA_CENTRES[i % len(DATA_CENTRES)]
