"""Steps that drive a single core event by event."""

from behave import given
from behave import then
from behave import when

from bambookeel.consensus import core
from bambookeel.consensus import effects
from bambookeel.consensus import events
from bambookeel.consensus import log as core_log
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.core import messages

_SETTINGS = records.CoreSettings()
_MEMBERS = membership.Membership(("a/1", "b/1", "c/1"))
_LATE_MS = 5_000


def _entry(term, index, payload=b"command"):
    return messages.LogEntry(term, index, False, payload)


def _start(context, entries=(), term=0, vote="", now_ms=0):
    log = core_log.Log(entries=tuple(entries))
    recovered = core.RecoveredState(term, vote, log, _MEMBERS)
    context.core = core.start_core(_SETTINGS, "a/1", recovered, 1, now_ms)
    context.now_ms = now_ms


def _step(context, event, now_ms=None):
    if now_ms is not None:
        context.now_ms = now_ms
    context.core, context.effects = core.step(
        context.core, event, context.now_ms
    )
    return context.effects


def _receive(context, message, now_ms=None):
    return _step(context, events.MessageReceived(message), now_ms)


def _find(found, effect_type):
    return [effect for effect in found if isinstance(effect, effect_type)]


def _find_replies(found, reply_type):
    sent = [effect.message for effect in _find(found, effects.Send)]
    return [message for message in sent if isinstance(message, reply_type)]


def _request_vote(context, candidate, term, now_ms=None):
    request = messages.VoteRequest(term, candidate, 99, 99, False, False)
    return _receive(context, request, now_ms)


def _lead(context):
    _step(context, events.TimerDue(), _LATE_MS)
    term = context.core.term + 1
    _receive(context, messages.VoteReply(term, "b/1", True, True))
    _receive(context, messages.VoteReply(term, "b/1", True, False))
    assert context.core.role is records.Role.LEADER


def _acknowledge(context, match_index, round_number=None):
    number = context.core.round_number if round_number is None else round_number
    term = context.core.term
    reply = messages.AppendReply(term, "b/1", True, match_index, number)
    return _receive(context, reply)


def _sync(context):
    last = context.core.log.last_index
    return _step(context, events.LogSynced(last, context.core.generation))


@given("a core of a, b and c that has voted for b in term 5")
def give_vote(context):
    _start(context)
    _request_vote(context, "b/1", 5, _LATE_MS)
    (context.persisted,) = _find(context.effects, effects.PersistTerm)
    assert _find_replies(context.effects, messages.VoteReply)[0].granted


@when("it restarts from its disk and c requests its vote in term 5")
def restart_and_request(context):
    persisted = context.persisted
    _start(context, (), persisted.term, persisted.vote)
    _request_vote(context, "c/1", 5, _LATE_MS)


@then("it refuses")
def check_refused(context):
    replies = _find_replies(context.effects, messages.VoteReply)
    assert [reply.granted for reply in replies] == [False]


@given("a core of a, b and c with entries of term 2 that leads term 4")
def lead_with_old_entries(context):
    _start(context, (_entry(1, 1), _entry(2, 2)), term=3)
    _lead(context)
    _sync(context)


@when("b acknowledges the entries of term 2")
def acknowledge_old(context):
    _acknowledge(context, 2)


@then("nothing is committed")
def check_nothing_committed(context):
    assert context.core.commit_index == 0


@when("b acknowledges the first entry of term 4")
@when("b acknowledges that entry")
def acknowledge_all(context):
    _acknowledge(context, context.core.log.last_index)


@then("all entries are committed")
def check_all_committed(context):
    assert context.core.commit_index == context.core.log.last_index


@given("a core of a, b and c that leads and has not synced its entry")
def lead_unsynced(context):
    _start(context, (_entry(1, 1),), term=1)
    _lead(context)


@when("its own sync ends")
def end_sync(context):
    _sync(context)


@given("a core of a, b and c that has written an unsynced entry of term 1")
def write_unsynced(context):
    _start(context)
    request = messages.AppendRequest(1, "b/1", 0, 0, (_entry(1, 1),), 0, 1)
    _receive(context, request)
    context.first_sync = events.LogSynced(1, context.core.generation)


@when("a leader of term 2 replaces it before the first sync ends")
def replace_entry(context):
    request = messages.AppendRequest(2, "c/1", 0, 0, (_entry(2, 1),), 0, 1)
    for _ in range(2):
        _receive(context, request)
    assert context.core.log.last_term == 2


@then("the end of the first sync does not acknowledge the new entry")
def check_generation(context):
    found = _step(context, context.first_sync)
    assert not _find_replies(found, messages.AppendReply)
    assert _find_replies(_sync(context), messages.AppendReply)


@given("a core of a, b and c that has not heard from a leader")
def start_without_leader(context):
    _start(context, now_ms=-_LATE_MS)
    context.now_ms = 0


@given("a core of a, b and c that has just restarted")
def start_restarted(context):
    _start(context)


@when("c requests its vote in term 7")
def request_vote_in_term_seven(context):
    _request_vote(context, "c/1", 7)


@then("the vote is persisted before it is sent")
def check_order(context):
    first, second = context.effects
    assert first == effects.PersistTerm(7, "c/1")
    assert second.message.granted


@given("a core of a, b and c that leads with a lease")
def lead_with_lease(context):
    _start(context)
    _lead(context)
    _sync(context)
    _acknowledge(context, context.core.log.last_index)
    until_ms = replication.compute_lease_until(context.core)
    assert until_ms > context.now_ms


@when("a hand-over is requested and b is asked to take over")
def request_hand_over(context):
    found = _step(context, events.HandOverRequested())
    assert _find_replies(found, messages.TimeoutNow)


@then("it holds no lease")
def check_no_lease(context):
    assert replication.compute_lease_until(context.core) == 0


@when("two learners are requested at once")
def request_two_learners(context):
    for name in ("d/1", "e/1"):
        change = membership.AddLearner(name)
        _step(context, events.MembershipChangeRequested(change))


@then("only the first is appended")
def check_one_change(context):
    assert context.core.membership.learners == ("d/1",)


@when("a learner is requested")
def request_learner(context):
    change = membership.AddLearner("d/1")
    _step(context, events.MembershipChangeRequested(change))


@then("no membership is appended")
def check_no_change(context):
    assert context.core.membership == _MEMBERS


@when("its lease has expired and a read is requested")
def request_late_read(context):
    context.now_ms = replication.compute_lease_until(context.core)
    context.earlier_round = context.core.round_number
    _step(context, events.ReadRequested(1))


@then("a reply to an earlier round does not confirm it")
def check_unconfirmed(context):
    found = _acknowledge(context, 1, context.earlier_round)
    assert not _find(found, effects.ReadConfirmed)


@then("a reply to the next round confirms it")
def check_confirmed(context):
    found = _acknowledge(context, 1)
    assert _find(found, effects.ReadConfirmed)


@when("b requests a read")
def request_peer_read(context):
    _step(context, events.ReadRequested(1, "b"))


@then("the read is confirmed and b is sent the commit index")
def check_commit_index_sent(context):
    assert _find(context.effects, effects.ReadConfirmed)
    (sent,) = _find(context.effects, effects.Send)
    assert sent.to == "b/1"
    assert sent.message.commit_index == context.core.commit_index


@given("a core of a, b and c with uncommitted entries 1 to 5 of term 1")
def start_with_uncommitted(context):
    _start(context, [_entry(1, index) for index in range(1, 6)], term=2)


@when("a snapshot up to entry 3 of term {term:d} is installed")
def install_snapshot(context, term):
    _step(context, events.SnapshotInstalled(3, term, _MEMBERS))
    kinds = (effects.DropPrefix, effects.ResetLog)
    assert len(_find(context.effects, kinds)) == 1


@then("its log ends at {last:d}")
def check_log_end(context, last):
    assert context.core.log.last_index == last
    assert context.core.commit_index == 3
