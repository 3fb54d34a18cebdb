"""Generates the capnp schema of the messages in `core.messages`.

The result is committed as `net/messages.capnp`, so that the generator is not
needed at run time. A test checks that the committed schema is up to date. The
message classes are the only input.
"""

import dataclasses
import enum
import pathlib
import typing

from bambookeel.core import messages
from bambookeel.core import wire_names

_FILE_ID = "@0xb3c1f5e2d4a69788"
_SCALARS = {str: "Text", bytes: "Data", bool: "Bool", int: "Int64"}
SCHEMA_PATH = pathlib.Path(__file__).parent.parent / "net" / "messages.capnp"


def _name_capnp_type(annotation: typing.Any) -> str:
    """Returns the name of the capnp type for an annotation.

    Args:
        annotation: Type annotation of a message field.

    Returns:
        The name of the capnp type.
    """
    annotation = wire_names.resolve_type(annotation)
    if typing.get_origin(annotation) is tuple:
        return f"List({_name_capnp_type(typing.get_args(annotation)[0])})"
    if dataclasses.is_dataclass(annotation):
        return annotation.__name__  # type: ignore[union-attr]
    if issubclass(annotation, enum.IntEnum):
        return "UInt16"
    return _SCALARS[annotation]


def _render_struct(message_type: type) -> list[str]:
    """Renders the struct of one message class.

    Args:
        message_type: Data class of the message.

    Returns:
        Lines of schema text.
    """
    hints = typing.get_type_hints(message_type)
    lines = [f"struct {message_type.__name__} {{"]
    for number, field in enumerate(dataclasses.fields(message_type)):
        name = wire_names.convert_to_camel_case(field.name)
        lines.append(
            f"  {name} @{number} :{_name_capnp_type(hints[field.name])};"
        )
    lines.append("}")
    lines.append("")
    return lines


def render_schema() -> str:
    """Renders the whole schema.

    Returns:
        The text of the schema, with one struct for each message and an
        envelope that is a union of them.
    """
    lines = [
        f"{_FILE_ID};",
        "# Written by bambookeel.tools.generate_schema; see core/messages.py.",
        "",
        "struct Envelope {",
        "  union {",
    ]
    for number, message_type in enumerate(messages.MESSAGE_TYPES):
        name = wire_names.convert_to_camel_case(message_type.__name__)
        lines.append(f"    {name} @{number} :{message_type.__name__};")
    lines.extend(["  }", "}", ""])
    for message_type in messages.MESSAGE_TYPES + messages.NESTED_TYPES:
        lines.extend(_render_struct(message_type))
    return "\n".join(lines)


def main() -> None:
    """Writes the schema to `SCHEMA_PATH`."""
    SCHEMA_PATH.write_text(render_schema(), encoding="utf-8")


if __name__ == "__main__":
    main()
