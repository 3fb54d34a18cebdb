"""Measures a node with 1,000 uncontrolled clients on each of its ports.

Run by hand: `python -m dev.run_client_crowds`. Three nodes start as processes
at loopback addresses; for each kind of client the leader gets one crowd a port,
for some seconds. Prints the peak memory and the most descriptors.
"""

import os
import tempfile
import time

from absl import app

from features.fakes import limited_site
from features.fakes import platform_document

_KINDS = ("idle", "slow", "heads", "unfinished")
_CLIENTS = 1_000
_SECONDS = 8.0
_BASE_PORT = 28_700
_PORTS = {"callers": 0, "ready": 1, "control": 2, "peers": 3}
_MEMORY_MB = 200
_MAX_FDS = 4_100


def _measure(kind: str, net: int) -> str:
    with tempfile.TemporaryDirectory() as folder:
        site = limited_site.LimitedSite(
            folder, _BASE_PORT, net, nodes=3, workers=1
        )
        crowds = []
        try:
            for node in site.nodes:
                node.memory_mb, node.max_fds = _MEMORY_MB, _MAX_FDS
            site.start()
            site.wait_until(site.are_ready, "all nodes are ready")
            site.wait_until(site.find_leader, "a node leads")
            leader = site.find_leader()
            document = platform_document.build_document()
            site.call_control(0, "POST", "/v1/config/put", document)
            addresses = {p: leader.get_address(n) for p, n in _PORTS.items()}
            addresses["metrics"] = leader.get_metrics_address()
            for port, address in addresses.items():
                crowds.append(
                    limited_site.Crowd(leader, kind, port, address, _CLIENTS)
                )
            crowds[0].watch(_SECONDS)
            peak_mb = leader.read_memory_mb("VmHWM")
            return f"{kind}: {peak_mb:.0f} MB, {crowds[0].peak_fds} descriptors"
        finally:
            for crowd in crowds:
                crowd.end()
            site.end()
            time.sleep(1.0)


def main(_argv: list[str]) -> None:
    """Measures each kind of client."""
    for kind in _KINDS:
        print(_measure(kind, os.getpid() % 250 + 1), flush=True)


if __name__ == "__main__":
    app.run(main)
