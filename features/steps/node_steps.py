"""Steps for replicas of the job book."""

from behave import given
from behave import then
from behave import when
import gevent

from bambookeel.jobs import calls
from features.fakes import node_group


@given("three replicas of the book")
def start_group(context):
    context.group = node_group.Group()
    context.add_cleanup(context.group.stop)


@given("configuration {version:d} is in force there")
@when("configuration {version:d} is put there")
@when("configuration {version:d} is put at the others")
def put_document(context, version):
    answer, member = context.group.put_document(version)
    assert isinstance(answer, calls.Done), answer
    context.before = getattr(context, "leader", None)
    context.leader = member


@when("the leader's disk is full")
def fill_disk(context):
    context.leader.folder.space = 0


@when("every replica gets a call that cannot be decoded")
def send_garbage(context):
    for member in context.group.members.values():
        member.send_garbage()


@then("another replica has answered")
def check_other(context):
    assert context.leader is not context.before, context.leader.address


@then("configuration {version:d} is read back")
def check_version(context, version):
    expected = f'{{"version":{version}}}'.encode()
    assert context.group.read_version() == expected


@when("{count:d} configurations follow")
def put_many(context, count):
    for version in range(2, count + 2):
        context.group.put_document(version)


@when("all replicas lose power and start again")
def lose_power(context):
    for member in context.group.members.values():
        member.kill()
    for member in context.group.members.values():
        member.start()


@then("every replica has made a snapshot")
def check_snapshots(context):
    for member in context.group.members.values():
        assert member.folder.read("snapshot"), member.address


@when("the leader is cut off and takes configuration {version:d}")
def take_while_cut(context, version):
    context.group.cut = context.leader.address
    document = context.group.build_document(version)
    answer = context.leader.call(calls.PutDocument(document))
    assert not isinstance(answer, calls.Done), answer


@when("the leader is in touch again")
def heal(context):
    context.group.cut = None


@then(
    "configuration {version:d} is read back at every replica that leads in turn"
)
def check_in_turn(context, version):
    expected = f'{{"version":{version}}}'.encode()
    for _ in range(2):
        answer, member = context.group.call(calls.GetDocument())
        assert answer.original == expected, (answer, member.address)
        member.kill()
        gevent.sleep(0.05)
        member.start()
