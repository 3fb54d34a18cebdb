"""Core settings as the adapter of the users' platform derives them."""

import dataclasses
import json
import pathlib
import sys

from bambookeel.control import core_runner

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The folder shadows a module of the standard library; it goes to the end.
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_settings  # noqa: E402

# Logs a tenth as long as a node's let a run of seconds meet snapshots.
_SHORTER = 10


def _build_document(losses, catch_up_s):
    host = "10.0.0.1"
    return {
        "node_name": "node-1",
        "ip": host,
        "zone": "north",
        "bind_addrs": {"control_plane": f"{host}:7000"},
        "port_range": [7100, 7109],
        "seed_nodes": [f"{host}:7000"],
        "fault_tolerance": {"machines": losses},
        "bounds": {"catch_up_s": catch_up_s},
    }


def build_timings(losses, catch_up_s):
    """Builds the consensus timings of a node's settings."""
    raw = json.dumps(_build_document(losses, catch_up_s)).encode()
    timings = adapter_settings.convert_settings(raw).node.consensus
    every = timings.snapshot_every // _SHORTER
    return dataclasses.replace(timings, snapshot_every=every)


def build_settings(timings):
    """Builds a core's settings, as a node does."""
    return core_runner.build_core_settings(timings)
