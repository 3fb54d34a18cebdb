"""Steps on entries that restart with a stored version."""

import pathlib
import shutil
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings
from bambookeel.entry import events
from bambookeel.entry import follower_task
from bambookeel.entry import version_file
from bambookeel.runtime import mailbox
from bambookeel.state import model
from features.fakes import fake_commits

_CONTROL = ids.ProcessId("control-0")


def _handle(context, event):
    context.task.handle_event(event)


def _start_entry(context):
    context.sent = []

    def send(_peer, message):
        context.sent.append(message)
        return True

    context.dispatcher = mailbox.Mailbox("dispatcher")
    context.task = follower_task.FollowerTask(
        ids.ProcessId("entry-0"),
        (_CONTROL,),
        settings.LeaseTimings(),
        send,
        context.dispatcher,
        str(context.folder),
    )
    _handle(context, events.PeerUp(_CONTROL, messages.ProcessRole.CONTROL))


@given("an entry with a data folder that follows control-0")
def start_entry(context):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder)
    context.stores = []
    original_store = version_file.VersionFile.store

    def store(self, version):
        original_store(self, version)
        published = context.task.view.version
        context.stores.append((version, published))

    patched = mock.patch.object(version_file.VersionFile, "store", store)
    patched.start()
    context.add_cleanup(patched.stop)
    _start_entry(context)


def _send_state(context, version):
    state = model.State()
    for _ in range(version):
        state = fake_commits.commit_team(state, "coach", 1).state
    (subscribe,) = [
        message
        for message in context.sent
        if isinstance(message, messages.Subscribe)
    ]
    stored = [model.to_stored(r) for r in state.by_key.values()]
    change = messages.StateChange(version, model.encode_changes(tuple(stored)))
    batch = messages.ChangeBatch(
        True, True, version, (change,), subscribe.subscription
    )
    _handle(context, events.FromPeer(_CONTROL, batch))


@when("{number:d} changes are queued in its mailbox and handled")
def handle_burst(context, number):
    _send_state(context, 1)
    context.stores.clear()
    state = fake_commits.commit_team(model.State(), "coach", 1).state
    for i in range(number):
        applied = fake_commits.commit_team(state, "coach", i)
        state = applied.state
        change = messages.StateChange(
            state.version, model.encode_changes(applied.changed)
        )
        batch = messages.ChangeBatch(False, True, state.version, (change,), 1)
        context.task.mailbox.put(events.FromPeer(_CONTROL, batch))
    while context.task.mailbox.get_depth():
        context.task.handle_event(context.task.mailbox.get())
    context.state = state


@then("at most {number:d} versions were stored and the last one is served")
def check_stores(context, number):
    assert len(context.stores) <= number, len(context.stores)
    assert context.task.view.version == context.state.version
    assert context.task.view.by_key == context.state.by_key


@when("control-0 sends the state of version {version:d}")
def send_state(context, version):
    _send_state(context, version)


@when("the entry restarts and control-0 sends the state of version {version:d}")
def restart_entry(context, version):
    _start_entry(context)
    _send_state(context, version)


@when("the leader confirms version {version:d}")
def confirm_version(context, version):
    _handle(context, events.Tick())
    heartbeat = context.sent[-1]
    assert isinstance(heartbeat, messages.EntryHeartbeat)
    reply = messages.EntryHeartbeatReply(
        heartbeat.nonce, True, _CONTROL, version, 1_000, ()
    )
    _handle(context, events.FromPeer(_CONTROL, reply))


@then("version {version:d} was stored before it was published")
def check_stored_first(context, version):
    assert context.stores == [(version, 0)], context.stores
    assert context.task.view.version == version


@then("the entry is fresh")
def check_fresh(context):
    assert context.task.is_fresh()


@then("the entry is not fresh")
def check_not_fresh(context):
    assert not context.task.is_fresh()


@when("its version file is corrupted and the entry restarts")
def corrupt_file(context):
    (context.folder / "applied-version.json").write_bytes(b"no version")
    context.error = ""
    try:
        _start_entry(context)
    except version_file.VersionFileError as error:
        context.error = str(error)


@then("the start fails with an error that names the file")
def check_failed_start(context):
    assert "applied-version.json" in context.error, context.error


def _send_heartbeats(context, number):
    for _ in range(number):
        _handle(context, events.Tick())
    return [m for m in context.sent if isinstance(m, messages.EntryHeartbeat)]


@when(
    "the entry sends {number:d} heartbeats, restarts and sends {again:d} again"
)
def restart_between_heartbeats(context, number, again):
    context.earlier = _send_heartbeats(context, number)
    assert len(context.earlier) == number
    _start_entry(context)
    _send_state(context, 4)
    assert len(_send_heartbeats(context, again)) == again
    while context.dispatcher.get_depth():
        context.dispatcher.get()


@when("control-0 answers the heartbeats from before the restart with a lease")
def answer_earlier_heartbeats(context):
    lease = messages.HeldLease(ids.ServiceName("orders"), ids.Epoch(1), False)
    for heartbeat in context.earlier:
        reply = messages.EntryHeartbeatReply(
            heartbeat.nonce, True, _CONTROL, 4, 1_000, (lease,)
        )
        _handle(context, events.FromPeer(_CONTROL, reply))


@then("its dispatcher has heard of no renewed lease")
def check_no_lease(context):
    heard = []
    while context.dispatcher.get_depth():
        heard.append(context.dispatcher.get())
    renewed = [e for e in heard if isinstance(e, events.LeaseRenewed)]
    assert not renewed, renewed
