"""Steps for losses of power at any write of a replica's files."""

import pathlib
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from returns import result

from bambookeel.consensus import membership
from bambookeel.core import messages
from bambookeel.storage import folder
from bambookeel.storage import snapshot_format
from bambookeel.storage import store
from features.fakes import disk_model

_PROCESS = "a"
_MEMBERS = membership.Membership(("a/1", "b/1", "c/1"))
_TERM = 2
_ACTIONS = ("append", "append", "sync", "term", "truncate", "compact", "reset")


class _Acknowledged:
    """What the replica may have told others, by the syncs that returned."""

    def __init__(self):
        self.term = 0
        self.asked_term = 0
        self.written = 0
        self.synced = 0
        self.snapshot = 0
        self.asked_snapshot = 0


class _History:
    """Runs random actions on a store until the power is lost."""

    def __init__(self, choose, calls_until_loss, skips_sync=()):
        self.model = disk_model.DiskModel(calls_until_loss, skips_sync, choose)
        self.known = _Acknowledged()
        self._choose = choose
        self._store = None

    def _open(self, model):
        with mock.patch.object(folder, "os", model):
            opened = folder.Folder(pathlib.Path("/data"), 0)
            return store.open_store(opened, _PROCESS)

    def run(self):
        with mock.patch.object(folder, "os", self.model):
            try:
                self._store = self._open(self.model).unwrap()[0]
                for _ in range(12):
                    self._act(self._choose(_ACTIONS))
            except disk_model.PowerLossError:
                return
        self.model.has_lost_power = True

    def _act(self, action):
        known = self.known
        match action:
            case "append":
                count = self._choose((1, 3))
                entries = tuple(
                    messages.LogEntry(
                        _TERM, known.written + 1 + i, False, b"entry \0"
                    )
                    for i in range(count)
                )
                self._store.append(entries)
                known.written += count
            case "sync":
                self._store.sync_log()
                known.synced = known.written
            case "term":
                known.asked_term += 1
                self._store.persist_term(known.asked_term, "b/1")
                known.term = known.asked_term
            case "truncate" if known.written > known.synced:
                # Only entries that are not acknowledged are ever removed.
                self._store.truncate(known.synced + 1)
                known.written = known.synced
            case "compact" if known.synced > known.snapshot:
                self._save_snapshot(known.synced)
                self._store.drop_prefix(known.synced, _TERM)
            case "reset":
                # A snapshot that the leader has sent, ahead of the log.
                index = known.written + 5
                self._save_snapshot(index)
                self._store.reset_log(index, _TERM)
                known.written = known.synced = index

    def _save_snapshot(self, index):
        head = snapshot_format.SnapshotHead(index, _TERM, _MEMBERS)
        data = snapshot_format.encode_snapshot(
            snapshot_format.Snapshot(head, b"state")
        )
        self.known.asked_snapshot = index
        self._store.save_snapshot(data)
        self.known.snapshot = index

    def find_fault(self):
        """Opens the store after the loss; returns what is wrong."""
        known = self.known
        match self._open(self.model.restart()):
            case result.Failure(fault):
                return f"{fault.place}: {fault.message}"
            case result.Success((_, loaded)):
                recovered = loaded.recovered
        if not known.term <= recovered.term <= known.asked_term:
            return f"term {recovered.term}, acknowledged {known.term}"
        snapshot = recovered.snapshot_index
        if not known.snapshot <= snapshot <= known.asked_snapshot:
            return f"snapshot {snapshot}, acknowledged {known.snapshot}"
        last = max(recovered.log.last_index, snapshot)
        if last < known.synced:
            return f"log ends at {last}, acknowledged {known.synced}"
        return ""


def _collect_faults(count, skips_sync=()):
    faults = []

    @hypothesis.settings(
        max_examples=count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(
        seed=strategies.integers(0, 2**32), calls=strategies.integers(0, 60)
    )
    def lose_power(seed, calls):
        history = _History(random.Random(seed).choice, calls, skips_sync)
        history.run()
        fault = history.find_fault()
        if fault:
            faults.append((seed, calls, fault))

    lose_power()
    return faults


@when(
    "the power is lost at a random write of a random history, {count:d} times"
)
def lose_power_at_random(context, count):
    context.faults = _collect_faults(count)


@when("the power is lost at each write of a new folder in turn")
def lose_power_of_new_folder(context):
    context.faults = []
    for calls in range(30):
        for seed in range(20):
            history = _History(random.Random(seed).choice, calls)
            history.run()
            fault = history.find_fault()
            if fault:
                context.faults.append((seed, calls, fault))


@then("the store opens each time and holds what was acknowledged")
def check_no_fault(context):
    assert not context.faults, context.faults[:5]


@when(
    "the power is lost at random writes without {sync} syncs, {count:d} times"
)
def lose_power_without_sync(context, sync, count):
    context.faults = _collect_faults(count, (sync,))


@then("acknowledged data is lost at least once")
def check_fault(context):
    assert context.faults


@given("a log of {count:d} synced entries and 2 writes that were not synced")
def write_without_sync(context, count):
    context.model = disk_model.DiskModel()
    with mock.patch.object(folder, "os", context.model):
        opened = folder.Folder(pathlib.Path("/data"), 0)
        opened_store = store.open_store(opened, _PROCESS).unwrap()[0]
        for index in range(1, count + 3):
            entry = messages.LogEntry(_TERM, index, False, b"payload")
            opened_store.append((entry,))
            if index == count:
                opened_store.sync_log()


@when("the power is lost and only the last write is present")
def lose_all_but_last(context):
    fates = iter(["missing", "present"])

    def choose(values):
        if "missing" in values:
            return next(fates)
        return values[0]

    context.model._choose = choose  # pylint: disable=protected-access
    after = context.model.restart()
    with mock.patch.object(folder, "os", after):
        opened = folder.Folder(pathlib.Path("/data"), 0)
        context.opened = store.open_store(opened, _PROCESS)


@then("the store opens with {count:d} entries")
def check_entries(context, count):
    log = context.opened.unwrap()[1].recovered.log
    assert log.last_index == count, log.last_index
