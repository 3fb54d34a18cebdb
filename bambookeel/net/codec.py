"""Encodes messages as capnp envelopes and decodes them.

On import, the module builds a writer and a reader for each message class from
the types of its fields. Bytes that are not a valid envelope raise a
`CodecError`; they never result in a message with wrong field types.
"""

from collections.abc import Callable
import dataclasses
import enum
import pathlib
import typing

import capnp

from bambookeel.core import messages
from bambookeel.core import wire_names

# Size limit of an encoded message; snapshots and answers are sent in parts
# that are smaller.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Limits how much data a malicious message can make the reader traverse.
_TRAVERSAL_LIMIT_WORDS = MAX_MESSAGE_BYTES
_NESTING_LIMIT = 16

_SCHEMA = capnp.load(str(pathlib.Path(__file__).parent / "messages.capnp"))

_Writer = Callable[[typing.Any, typing.Any], None]
_Reader = Callable[[typing.Any], typing.Any]


class CodecError(Exception):
    """The bytes are not a valid message."""


def _is_record(annotation: typing.Any) -> bool:
    return dataclasses.is_dataclass(annotation)


def _build_field_writer(name: str, annotation: typing.Any) -> _Writer:
    """Builds the function that copies one field into a capnp builder.

    Args:
        name: Name of the field in Python.
        annotation: Resolved type of the field.

    Returns:
        A function of the builder and the value of the field.
    """
    wire_name = wire_names.convert_to_camel_case(name)
    if typing.get_origin(annotation) is not tuple:
        if issubclass(annotation, enum.IntEnum):

            def write_enum(builder: typing.Any, value: typing.Any) -> None:
                setattr(builder, wire_name, int(value))

            return write_enum

        def write_scalar(builder: typing.Any, value: typing.Any) -> None:
            setattr(builder, wire_name, value)

        return write_scalar
    item_type = wire_names.resolve_type(typing.get_args(annotation)[0])
    if not _is_record(item_type):

        def write_scalars(builder: typing.Any, value: typing.Any) -> None:
            if value:
                setattr(builder, wire_name, list(value))

        return write_scalars
    write_item = _build_writer(item_type)

    def write_records(builder: typing.Any, value: typing.Any) -> None:
        if not value:
            return
        items = builder.init(wire_name, len(value))
        for i, item in enumerate(value):
            write_item(items[i], item)

    return write_records


def _build_writer(record_type: type) -> _Writer:
    """Builds the function that copies a record into a capnp builder.

    Args:
        record_type: The data class.

    Returns:
        A function of the builder and the record.
    """
    hints = typing.get_type_hints(record_type)
    fields = []
    for field in dataclasses.fields(record_type):
        annotation = wire_names.resolve_type(hints[field.name])
        writer = _build_field_writer(field.name, annotation)
        fields.append((field.name, writer))

    def write_record(builder: typing.Any, record: typing.Any) -> None:
        for name, write_field in fields:
            write_field(builder, getattr(record, name))

    return write_record


def _build_field_reader(name: str, annotation: typing.Any) -> _Reader:
    """Builds the function that reads one field from a capnp reader.

    Args:
        name: Name of the field in Python.
        annotation: Resolved type of the field.

    Returns:
        A function of the reader that returns the value of the field.
    """
    wire_name = wire_names.convert_to_camel_case(name)
    if typing.get_origin(annotation) is not tuple:
        if issubclass(annotation, enum.IntEnum):
            return lambda reader: annotation(getattr(reader, wire_name))
        return lambda reader: getattr(reader, wire_name)
    item_type = wire_names.resolve_type(typing.get_args(annotation)[0])
    if not _is_record(item_type):
        return lambda reader: tuple(getattr(reader, wire_name))
    read_item = _build_reader(item_type)

    def read_records(reader: typing.Any) -> typing.Any:
        return tuple([read_item(item) for item in getattr(reader, wire_name)])

    return read_records


def _build_reader(record_type: type) -> _Reader:
    """Builds the function that reads a record from a capnp reader.

    Args:
        record_type: The data class.

    Returns:
        A function of the reader that returns the record.
    """
    hints = typing.get_type_hints(record_type)
    fields = []
    for field in dataclasses.fields(record_type):
        annotation = wire_names.resolve_type(hints[field.name])
        fields.append(_build_field_reader(field.name, annotation))

    def read_record(reader: typing.Any) -> typing.Any:
        return record_type(*[read_field(reader) for read_field in fields])

    return read_record


_WRITERS: dict[type, tuple[str, _Writer]] = {}
_READERS: dict[str, _Reader] = {}
for _message_type in messages.MESSAGE_TYPES:
    _wire_name = wire_names.convert_to_camel_case(_message_type.__name__)
    _WRITERS[_message_type] = (_wire_name, _build_writer(_message_type))
    _READERS[_wire_name] = _build_reader(_message_type)


def encode_message(message: messages.Message) -> bytes:
    """Encodes one message.

    Args:
        message: An instance of one of `messages.MESSAGE_TYPES`.

    Returns:
        The bytes of its envelope.
    """
    wire_name, write_record = _WRITERS[type(message)]
    envelope = _SCHEMA.Envelope.new_message()
    write_record(envelope.init(wire_name), message)
    return envelope.to_bytes()


def decode_message(data: bytes) -> messages.Message:
    """Decodes one message.

    Args:
        data: The bytes of one envelope.

    Returns:
        The message.

    Raises:
        CodecError: If the bytes are not a valid envelope.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(
            data,
            traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
            nesting_limit=_NESTING_LIMIT,
        ) as envelope:
            wire_name = str(envelope.which())
            return _READERS[wire_name](getattr(envelope, wire_name))
    except (capnp.KjException, ValueError, KeyError) as error:
        raise CodecError(f"invalid message of {len(data)} bytes") from error
