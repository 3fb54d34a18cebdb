"""Steps for readers of outside bytes beside the platform's adapter."""

from behave import then
from behave import when
import gevent
from returns import result

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings
from bambookeel.jobs import calls
from bambookeel.net import channels
from bambookeel.net import links
from bambookeel.net import platform_client
from bambookeel.runtime import settings_file
from bambookeel.tools import cli_client
from features.fakes import raw_service


@when("a service sends JSON nested {depth:d} deep")
def answer_deep(context, depth):
    context.body = b'{"extra":' + b"[" * depth + b"]" * depth + b"}"
    size = len(context.body)
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
    context.service = raw_service.RawService(head + context.body)
    context.add_cleanup(context.service.close)


@then("the command line's client has no answer")
def check_client(context):
    client = cli_client.Client((context.service.address,), "key", tries=1)
    answer = cli_client.send_request(client, "GET", "/v1/teams")
    assert answer.status == cli_client.NO_ANSWER, answer
    endings = list(cli_client.watch(client, 0, ""))
    assert len(endings) == 1, endings
    assert isinstance(endings[0], result.Failure), endings


@then("the platform's list of workers is a fault")
def check_reports(context):
    found = platform_client.decode_reports(context.body, 5)
    assert isinstance(found, result.Failure), found


@then("a call of a peer nested {depth:d} deep cannot be decoded")
def check_call(_context, depth):
    fields = b"\x82\xa4type\xa3get\xa1z" + b"\x91" * depth
    found = calls.decode_call(b"\0" + fields)
    assert isinstance(found, result.Failure), found


@then('the listening address "{address}" is a fault')
def check_address(_context, address):
    text = f'{{"process_id":"a","address":"{address}","data_centre":"d"}}'
    match settings_file.parse_settings(text, settings.PeerSpec):
        case result.Failure(found):
            assert [fault.place for fault in found] == ["address"], found
        case other:
            raise AssertionError(other)


@when('messages are sent to peers with the ids "{names}"')
def send_to_peers(context, names):
    context.errors = errors = []
    hub = gevent.get_hub()
    hub.handle_error, handle = (
        lambda *error: errors.append(error),
        hub.handle_error,
    )
    context.add_cleanup(setattr, hub, "handle_error", handle)
    identity = messages.Hello(
        ids.ProcessId("127.0.0.1:1"),
        messages.ProcessRole.CONTROL,
        ids.DataCentre("d"),
        ids.Incarnation(1),
        ids.LinkNumber(0),
    )
    link_settings = links.LinkSettings("127.0.0.1:0", {}, 100, 500)
    opened = channels.Channels(link_settings, identity, lambda *_: None)
    context.add_cleanup(opened.close)
    for name in names.split(","):
        opened.send(ids.ProcessId(name), messages.LeaderQuestion(1))
    gevent.sleep(0.3)


@then("no task has ended with an error")
def check_no_errors(context):
    assert not context.errors, context.errors[0]
