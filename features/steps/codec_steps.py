"""Steps for the encoding of messages and for clock stamps."""

import dataclasses
import enum
import typing

from behave import then
import hypothesis
from hypothesis import strategies

from bambookeel.core import clocks
from bambookeel.core import messages
from bambookeel.core import wire_names
from bambookeel.net import codec
from bambookeel.tools import generate_schema

_TEXTS = strategies.text(
    strategies.characters(codec="utf-8", exclude_characters="\0"), max_size=20
)


def _build_strategy(annotation):
    annotation = wire_names.resolve_type(annotation)
    if typing.get_origin(annotation) is tuple:
        item = _build_strategy(typing.get_args(annotation)[0])
        return strategies.lists(item, max_size=3).map(tuple)
    if dataclasses.is_dataclass(annotation):
        hints = typing.get_type_hints(annotation)
        fields = [
            _build_strategy(hints[field.name])
            for field in dataclasses.fields(annotation)
        ]
        return strategies.tuples(*fields).map(lambda v: annotation(*v))
    if issubclass(annotation, enum.IntEnum):
        return strategies.sampled_from(annotation)
    if annotation is bool:
        return strategies.booleans()
    if annotation is int:
        return strategies.integers(-(2**63), 2**63 - 1)
    if annotation is bytes:
        return strategies.binary(max_size=50)
    return _TEXTS


@then("every message type with random fields is unchanged after encoding")
def check_round_trips(context):
    for message_type in messages.MESSAGE_TYPES:

        @hypothesis.given(_build_strategy(message_type))
        def check(message):
            decoded = codec.decode_message(codec.encode_message(message))
            assert decoded == message, (message, decoded)

        check()


@then("the committed schema matches the message classes")
def check_schema(context):
    committed = generate_schema.SCHEMA_PATH.read_text(encoding="utf-8")
    assert committed == generate_schema.render_schema()


@then("arbitrary bytes are rejected or decode to a message")
def check_arbitrary_bytes(context):
    heartbeat = codec.encode_message(messages.LinkHeartbeat(1))

    @hypothesis.settings(max_examples=2_000)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.binary(max_size=60).map(lambda tail: heartbeat + tail),
            strategies.tuples(
                strategies.integers(0, len(heartbeat) - 1),
                strategies.integers(0, 255),
            ).map(
                lambda change: heartbeat[: change[0]]
                + bytes([change[1]])
                + heartbeat[change[0] + 1 :]
            ),
        )
    )
    def check(data):
        try:
            message = codec.decode_message(data)
        except codec.CodecError:
            return
        assert type(message) in messages.MESSAGE_TYPES

    check()


@then("stamps increase with random local events and received stamps")
def check_stamps(context):
    events = strategies.lists(
        strategies.tuples(
            strategies.integers(0, 50), strategies.integers(0, 50)
        ),
        max_size=50,
    )

    @hypothesis.given(events)
    def check(clock_readings):
        last = clocks.Stamp(0, 0)
        for wall_ms, received_ms in clock_readings:
            received = clocks.Stamp(received_ms, 3)
            merged = clocks.merge_stamp(last, received, wall_ms)
            assert merged > last and merged > received
            packed = clocks.encode_stamp(merged)
            assert clocks.decode_stamp(packed) == merged
            last = clocks.tick_stamp(merged, wall_ms)
            assert last > merged

    check()
