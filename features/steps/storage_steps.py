"""Steps for the files of a replica and for the encoded state."""

import pathlib
import random
import shutil
import tempfile

from behave import given
from behave import then
from behave import when
from returns import result

from bambookeel.consensus import membership
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import keys
from bambookeel.state import model
from bambookeel.state import snapshot as state_snapshot
from bambookeel.storage import folder
from bambookeel.storage import snapshot_format
from bambookeel.storage import store
from features.fakes import memory_folder

_MEMBERS = membership.Membership(("a/1", "b/1", "c/1"))


def _build_entries(first, last):
    return tuple(
        messages.LogEntry(2, index, False, b"payload %d" % index)
        for index in range(first, last + 1)
    )


def _open(context, process="a"):
    context.opened = store.open_store(context.folder, process)


def _get_log(context):
    return context.opened.unwrap()[1].recovered.log


@given("a store with {count:d} synced entries")
def build_store(context, count):
    context.folder = memory_folder.MemoryFolder()
    _open(context)
    context.store, loaded = context.opened.unwrap()
    context.member = loaded.member
    context.store.persist_term(3, "b/1")
    context.store.append(_build_entries(1, count))
    context.store.sync_log()


def _save_snapshot(context, last_index, last_term=2):
    head = snapshot_format.SnapshotHead(last_index, last_term, _MEMBERS)
    encoded = snapshot_format.encode_snapshot(
        snapshot_format.Snapshot(head, b"state")
    )
    context.store.save_snapshot(encoded)


@given("a snapshot of the first {count:d}")
def save_snapshot(context, count):
    _save_snapshot(context, count)


@when("its log is truncated at each byte in turn and opened")
def truncate_everywhere(context):
    complete = context.folder.read("log")
    scanned = store.log_format.scan_log(complete).unwrap()
    ends = [*scanned.offsets[1:], len(complete)]
    context.found = []
    for size in range(store.log_format.HEADER_BYTES, len(complete) + 1):
        context.folder.open_files = {}
        context.folder.files["log"] = complete[:size]
        _open(context)
        expected = sum(1 for end in ends if end <= size)
        context.found.append((expected, _get_log(context).last_index))
        left = len(context.folder.read("log"))
        assert left == (ends[expected - 1] if expected else scanned.offsets[0])


@then("each time the complete entries are recovered and the rest is truncated")
def check_truncations(context):
    assert all(expected == found for expected, found in context.found)
    assert {found for _, found in context.found} == set(range(6))


@when("a bit of record {number:d} is flipped and the store is opened")
def flip_record(context, number):
    context.folder.damage_record(number)
    _open(context)


@when('a bit of the file "{name}" is flipped and the store is opened')
def flip_file(context, name):
    data = bytearray(context.folder.read(name))
    data[-1] ^= 1
    context.folder.files[name] = bytes(data)
    _open(context)


@when('the file "{name}" is missing and the store is opened')
def lose_file(context, name):
    del context.folder.files[name]
    _open(context)


@when("another process opens it")
def open_as_other(context):
    _open(context, "b")


@then('opening fails and names "{place}" and "{text}"')
def check_fault(context, place, text):
    fault = context.opened.failure()
    assert fault.place.startswith(place), fault
    assert text in fault.message, fault


@when("it has crashed and is opened again")
def crash_and_open(context):
    context.folder.crash(random.Random(1))
    _open(context)


@then("the member, term 3 and the vote are the same")
def check_term(context):
    loaded = context.opened.unwrap()[1]
    assert loaded.member == context.member
    recovered = loaded.recovered
    assert (recovered.term, recovered.vote) == (3, "b/1")


@when("its folder is wiped and opened again")
def wipe_and_open(context):
    context.folder = memory_folder.MemoryFolder()
    _open(context)


@then("it is a new member without a term, a vote or entries")
def check_new_member(context):
    loaded = context.opened.unwrap()[1]
    assert loaded.member != context.member
    recovered = loaded.recovered
    assert (recovered.term, recovered.vote) == (0, "")
    assert recovered.log.last_index == 0


@when(
    "a received snapshot that covers {index:d} entries is saved and the"
    " process ends"
)
def save_later_snapshot(context, index):
    _save_snapshot(context, index, 4)
    crash_and_open(context)


@then("the log begins after entry {index:d}")
def check_base(context, index):
    log = _get_log(context)
    assert (log.base_index, log.base_term, log.entries) == (index, 4, ())


@when("the first {count:d} entries are dropped and the store is opened again")
def drop_entries(context, count):
    context.store.drop_prefix(count, 2)
    crash_and_open(context)


@then("the log holds the entries {first:d} to {last:d}")
def check_entries(context, first, last):
    log = _get_log(context)
    assert log.base_index == first - 1
    assert log.entries == _build_entries(first, last)


@when("the disk has room for {room:d} bytes and {count:d} entries are appended")
def append_without_room(context, room, count):
    context.folder.space = room
    last = context.store.last_index
    try:
        context.store.append(_build_entries(last + 1, last + count))
        context.append_error = None
    except OSError as error:
        context.append_error = error


@then("the append fails and the log holds {count:d} entries")
def check_append(context, count):
    assert context.append_error is not None
    context.folder.space = None
    assert context.store.last_index == count
    crash_and_open(context)
    assert _get_log(context).last_index == count


@given("a data folder on disk that a process has locked")
def hold_folder(context):
    scratch = tempfile.mkdtemp()
    context.add_cleanup(shutil.rmtree, scratch)
    context.path = pathlib.Path(scratch) / "data"
    context.disk_folder = folder.open_folder(str(context.path)).unwrap()
    context.add_cleanup(context.disk_folder.close)


@when("it is opened a second time")
def open_again(context):
    context.opened_folder = folder.open_folder(str(context.path))


@then('opening fails and names "another process"')
def check_locked(context):
    assert isinstance(context.opened_folder, result.Failure)
    assert "another process" in context.opened_folder.failure().message


@when(
    '"abcdef" is appended and truncated to 3 bytes, and another file is'
    " replaced twice"
)
def use_files(context):
    file = context.disk_folder.open_append("grown")
    file.append(b"abcdef")
    file.truncate(3)
    file.append(b"xyz")
    file.sync()
    file.close()
    context.disk_folder.replace("small", b"first")
    context.disk_folder.replace("small", b"second")


@then("both files hold the last content written")
def check_files(context):
    assert context.disk_folder.read("grown") == b"abcxyz"
    assert context.disk_folder.read("small") == b"second"
    assert context.disk_folder.read_part("small", 1, 3) == b"eco"
    assert context.disk_folder.read("absent") is None


def _apply(context, command_id, change):
    version = ids.StateVersion(context.state.version + 1)
    command = commands.Command(
        command_id, "test", (commands.wrap_change(change),)
    )
    applied = apply.apply_command(context.state, version, command)
    context.state = applied.state
    return applied.outcome


@given("a state with a team, a key, a deleted pool and refused commands")
def build_state(context):
    context.state = model.State()
    put, kinds = commands.PutSpec, resources.Kind
    context.team = put(kinds.TEAM, "coach", 0, {"upper_limit": 5})
    context.first_outcome = _apply(context, "create", context.team)
    key = keys.create_key(ids.KeyId("coach-key"), "coach", "")
    spec = {"team": "coach", "salt_hex": key.spec.salt_hex}
    spec["hash_hex"] = key.spec.hash_hex
    _apply(context, "key", put(kinds.KEY, "coach-key", 0, spec))
    _apply(context, "pool", put(kinds.POOL, "orders", 0, {"wanted_size": 3}))
    _apply(context, "delete", commands.Delete(kinds.POOL, "orders", -1))
    _apply(context, "conflict", context.team)
    bad = put(kinds.TEAM, "coach", -1, {"upper_limit": -5})
    _apply(context, "invalid", bad)


@when("it is encoded and decoded")
def encode_and_decode(context):
    encoded = state_snapshot.encode_state(context.state)
    context.decoded = state_snapshot.decode_state(encoded)


@then("the states are equal")
def check_states(context):
    assert context.decoded.version == context.state.version
    assert context.decoded.by_key == context.state.by_key
    # Untyped data in outcomes is compared by its JSON encoding.
    encoded = state_snapshot.encode_state(context.decoded)
    assert encoded == state_snapshot.encode_state(context.state)
    assert context.decoded.outcome_order == context.state.outcome_order


@then("a command that is sent again gets its first outcome")
def check_repeat(context):
    context.state = context.decoded
    assert _apply(context, "create", context.team) == context.first_outcome
