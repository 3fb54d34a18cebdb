"""Measures the time and memory of a restart for histories of two lengths.

A restart reads the snapshot and the log entries after it. Its cost must depend
on the size of the state and the changes since the snapshot, not on the length
of the history. As the state also holds the outcomes of the last commands, both
histories are longer than that number of commands. The bound of each line is the
same measurement at half the history.
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
        path: Path of the data folder.
        state: State that the folder holds so far.
        changes: Total number of changes in the folder afterwards.
        snapshot_every: Number of entries between two snapshots.

    Returns:
        The state after all changes.
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
        path: Path of the data folder.

    Returns:
        The shortest time of several restarts in ms, and the memory that stays
        in use afterwards in kB.
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
    """Measures restarts with both histories.

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
