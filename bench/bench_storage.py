"""Storage: restart time and memory against changes and against history.

A restart reads the snapshot and the log behind it. Both must depend on what is
held and on the changes since the snapshot, never on how long the deployment
has run. The state also holds the outcomes of the last commands, so that the
histories that are compared exceed that number; each line's bound is the same
measure at half the history.
"""

import tempfile
import time
import tracemalloc

from bambookeel.consensus import membership
from bambookeel.control import replicated_state
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model
from bambookeel.state import snapshot as state_snapshot
from bambookeel.storage import folder
from bambookeel.storage import snapshot_format
from bambookeel.storage import store
from bench import lines

_MEMBERS = membership.Membership((ids.MemberId("a/1"),))
_TERM = ids.Term(1)
_RESOURCES = 200
_HISTORIES = (12_000, 24_000)
_SINCE = (0, 500, 999)
_REPEATS = 5
_BYTES_PER_KB = 1024


def _build_command(number: int) -> commands.Command:
    change = commands.PutSpec(
        resources.Kind.TEAM,
        f"team-{number % _RESOURCES}",
        commands.ANY_VERSION,
        {"upper_limit": number},
    )
    return commands.Command(
        ids.CommandId(f"command-{number}"),
        "bench",
        (commands.wrap_change(change),),
    )


def _write_history(
    path: str, state: model.State, changes: int, snapshot_every: int
) -> model.State:
    """Adds changes to the data folder of a replica.

    Args:
        path: The folder.
        state: The state so far.
        changes: Changes in all.
        snapshot_every: Entries between two snapshots.

    Returns:
        The state after them.
    """
    locked = folder.open_folder(path).unwrap()
    opened, _ = store.open_store(locked, ids.ProcessId("a")).unwrap()
    for index in range(state.version + 1, changes + 1):
        command = _build_command(index)
        payload = commands.encode_command(command)
        entry = messages.LogEntry(_TERM, ids.LogIndex(index), False, payload)
        opened.append((entry,))
        version = ids.StateVersion(index)
        state = apply.apply_command(state, version, command).state
        if index % snapshot_every:
            continue
        head = snapshot_format.SnapshotHead(
            ids.LogIndex(index), _TERM, _MEMBERS
        )
        encoded = state_snapshot.encode_state(state)
        whole = snapshot_format.Snapshot(head, encoded)
        opened.save_snapshot(snapshot_format.encode_snapshot(whole))
        opened.drop_prefix(index - snapshot_every // 4, _TERM)
    opened.sync_log()
    opened.close()
    return state


def _restart(path: str) -> replicated_state.ReplicatedState:
    locked = folder.open_folder(path).unwrap()
    opened, loaded = store.open_store(locked, ids.ProcessId("a")).unwrap()
    replicated = replicated_state.restore(loaded.snapshot)
    for entry in loaded.recovered.log.entries:
        if entry.index > replicated.applied_index:
            replicated.apply_entry(entry)
    opened.close()
    return replicated


def _measure_restart(path: str) -> tuple[float, float]:
    """Restarts from a folder and measures time and memory.

    Args:
        path: The folder.

    Returns:
        Milliseconds, the best of a few, and kilobytes that stay in use.
    """
    times = []
    for _ in range(_REPEATS):
        began = time.perf_counter()
        _restart(path)
        times.append((time.perf_counter() - began) * 1000.0)
    tracemalloc.start()
    replicated = _restart(path)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del replicated
    return min(times), used / _BYTES_PER_KB


def measure() -> list[str]:
    """Measures restarts.

    Returns:
        Result lines.
    """
    every = settings.ConsensusTimings().snapshot_every
    found = []
    first: dict[int, tuple[float, float]] = {}
    for history in _HISTORIES:
        with tempfile.TemporaryDirectory() as path:
            state = model.State()
            for since in _SINCE:
                state = _write_history(path, state, history + since, every)
                measured = _measure_restart(path)
                base = first.setdefault(since, measured)
                found += _render(history, since, measured, base)
    return found


def _render(
    history: int,
    since: int,
    measured: tuple[float, float],
    base: tuple[float, float],
) -> list[str]:
    more = {"history": history, "since_snapshot": since}
    return [
        lines.render_line("storage", name, value, bound, **more)
        for name, value, bound in zip(
            ("restart_ms", "memory_kb"), measured, base
        )
    ]
