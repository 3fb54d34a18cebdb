"""How Python names and types of messages map to capnp's.

Shared by the schema generator and the codec, so that both always agree.
"""

import typing


def convert_to_camel_case(name: str) -> str:
    """Converts a Python name to capnp's field case.

    Args:
        name: A snake_case or PascalCase name.

    Returns:
        The name in camelCase.
    """
    head, *rest = name.split("_")
    words = [word.capitalize() for word in rest]
    return head[0].lower() + head[1:] + "".join(words)


def resolve_type(annotation: typing.Any) -> typing.Any:
    """Follows a `NewType` down to the type that exists at run time.

    Args:
        annotation: A field's annotation.

    Returns:
        The underlying type.
    """
    while hasattr(annotation, "__supertype__"):
        annotation = annotation.__supertype__
    return annotation
