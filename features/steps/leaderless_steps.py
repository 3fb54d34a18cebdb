"""Steps for calls while no leader is known."""

from behave import given
from behave import then
from behave import when
import gevent.server

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.jobs import calls
from bambookeel.net import channels
from bambookeel.net import links
from bambookeel.node import gateway
from bambookeel.node import leader_finder
from bambookeel.node import leaderless
from bambookeel.runtime import clock
from features.steps import channel_steps

_LEADER = ids.ProcessId("10.0.0.1:7000")


def _find_answer_ms(arrival_ms, outage_ms, retries):
    at_ms = arrival_ms
    for _ in range(retries + 1):
        wait_ms = leaderless.compute_wait_ms(at_ms)
        if at_ms + wait_ms >= outage_ms:
            return max(at_ms, outage_ms)
        refused_ms = at_ms + wait_ms
        at_ms = refused_ms + leaderless.compute_retry_ms(refused_ms)
    return None


@when(
    "callers with {retries:d} retries call every {ms:d} ms during an outage of"
    " {outage_ms:d} ms"
)
def replay_outage(context, retries, ms, outage_ms):
    context.answered_ms = {
        arrival_ms: _find_answer_ms(arrival_ms, outage_ms, retries)
        for arrival_ms in range(0, outage_ms, ms)
    }


@then("every caller is served after the outage")
def check_served(context):
    lost = [at for at, ms in context.answered_ms.items() if ms is None]
    assert not lost, lost


@then("a call waits for a leader if the outage has lasted {ms:d} ms")
def check_waits(_, ms):
    assert leaderless.compute_wait_ms(ms) > 0


@then("a call is refused at once if the outage has lasted {ms:d} ms")
def check_refused(_, ms):
    assert leaderless.compute_wait_ms(ms) == 0


@given("a leader that was confirmed at {ms:d} ms")
def confirm_leader(context, ms):
    context.view = leader_finder.LeaderView(ids.ProcessId("own"), ())
    known = messages.LeaderKnown(0, _LEADER, ids.Term(1), True, ())
    leader_finder.update_view(context.view, _LEADER, known, ms)


@when("the leader does not answer a call")
def lose_leader(context):
    leader_finder.mark_unconfirmed(context.view, _LEADER)


@then("at {now_ms:d} ms the outage has lasted {ms:d} ms")
def check_outage(context, now_ms, ms):
    assert context.view.measure_outage_ms(now_ms) == ms


@given("a process that accepts connections and answers nothing")
def start_silent_process(context):
    server = gevent.server.StreamServer(
        ("127.0.0.1", 0), lambda sock, _: sock.recv(1)
    )
    server.start()
    context.add_cleanup(server.stop, 0)
    context.address = f"127.0.0.1:{server.server_port}"


@when("a node passes a job to it as the leader for {ms:d} ms")
def pass_job(context, ms):
    own = ids.ProcessId(channel_steps.find_free_address())
    settings = links.LinkSettings(own, {}, 250, 1_000)
    node_channels = channels.Channels(
        settings, channel_steps.build_hello(own), lambda *_: None
    )
    context.add_cleanup(node_channels.close)
    view = leader_finder.LeaderView(own, ())
    leader = ids.ProcessId(context.address)
    known = messages.LeaderKnown(0, leader, ids.Term(1), True, ())
    leader_finder.update_view(view, leader, known, clock.read_now_ms())
    job = calls.SubmitJob("h", "/p/", "", "00", None, "no job")
    node_gateway = gateway.Gateway(view, node_channels, False)
    context.answer = node_gateway.call(job, ms, 0)


@then("the answer is that the job has not been stored")
def check_not_stored(context):
    assert isinstance(context.answer, calls.NotLeading), context.answer
    assert not context.answer.is_unknown, context.answer


@then("the answer is that the outcome is unknown")
def check_unknown(context):
    assert isinstance(context.answer, calls.NotLeading), context.answer
    assert context.answer.is_unknown, context.answer
