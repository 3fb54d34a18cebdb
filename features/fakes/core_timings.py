"""Core settings as the platform adapter derives them from a settings file."""

import dataclasses
import json
import pathlib
import sys

from bambookeel.control import core_runner

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# At the end of the path, as the folder's name shadows a standard module.
sys.path.append(str(_ROOT / "platform"))

# pylint: disable=wrong-import-position,import-error
import adapter_settings  # noqa: E402

# Snapshots are made this many times as often as on a node, so that a run of a
# few seconds includes some.
_SNAPSHOT_FREQUENCY_FACTOR = 10


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
    """Builds the consensus timings of a node, with more frequent snapshots."""
    raw = json.dumps(_build_document(losses, catch_up_s)).encode()
    timings = adapter_settings.convert_settings(raw).node.consensus
    every = timings.snapshot_every // _SNAPSHOT_FREQUENCY_FACTOR
    return dataclasses.replace(timings, snapshot_every=every)


def build_settings(timings):
    """Builds the settings of a core as a node does."""
    return core_runner.build_core_settings(timings)
