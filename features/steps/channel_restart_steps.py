"""Steps for channels of processes that restart, on real sockets."""

import dataclasses
import time

from behave import given
from behave import then
from behave import when
import gevent
import gevent.socket

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.net import addresses
from bambookeel.net import channels
from bambookeel.net import links
from features.steps import channel_steps

_SETTLE_S = 0.1
_SEND_S = 0.05
_FIRST, _SECOND = 1, 2


def _open(context, address, incarnation, deliver):
    hello = dataclasses.replace(
        channel_steps.build_hello(address),
        incarnation=ids.Incarnation(incarnation),
    )
    settings = links.LinkSettings(address, {}, 250, 1_000)
    opened = channels.Channels(settings, hello, deliver)
    opened.listen()
    context.add_cleanup(opened.close)
    return opened


@given("a process that has sent a message from a start at {started:d} ms")
def send_from_first_start(context, started):
    context.address = channel_steps.find_free_address()
    context.sender_address = channel_steps.find_free_address()
    context.received = []
    _open(
        context,
        context.address,
        1,
        lambda peer, message: context.received.append(message.nonce),
    )
    sender = _open(context, context.sender_address, started, lambda *_: None)
    sender.send(context.address, messages.LeaderQuestion(_FIRST))
    gevent.sleep(_SETTLE_S)
    assert context.received == [_FIRST], context.received
    sender.close()
    gevent.sleep(_SETTLE_S)


@when(
    "it restarts at {started:d} ms by its clock and sends a message every 50 ms"
)
def restart_sender(context, started):
    sender = _open(context, context.sender_address, started, lambda *_: None)

    def send():
        while True:
            sender.send(context.address, messages.LeaderQuestion(_SECOND))
            gevent.sleep(_SEND_S)

    context.add_cleanup(gevent.spawn(send).kill)


@when(
    "a connection of its start at {started:d} ms brings a message, unanswered"
)
def bring_delayed_message(context, started):
    sock = gevent.socket.create_connection(
        addresses.parse_address(context.address)
    )
    link = links.Link(sock, links.LinkSettings(context.address, {}, 250, 1_000))
    hello = channel_steps.build_hello(context.sender_address)
    incarnation = ids.Incarnation(started)
    link.enqueue(dataclasses.replace(hello, incarnation=incarnation))
    link.enqueue(messages.LeaderQuestion(_SECOND))
    context.add_cleanup(link.close)
    gevent.spawn(link.write_frames)


def _wait_for_second(context, limit_ms):
    end_s = time.monotonic() + limit_ms / 1000
    while time.monotonic() < end_s and _SECOND not in context.received:
        gevent.sleep(_SEND_S)
    return _SECOND in context.received


@then("a message of the second start arrives within {limit:d} ms")
def check_arrival(context, limit):
    assert _wait_for_second(context, limit), context.received


@then("no message of the second start arrives within {limit:d} ms")
def check_no_arrival(context, limit):
    assert not _wait_for_second(context, limit), context.received
