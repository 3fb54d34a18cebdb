"""Maps the Python names and types of messages to those of capnp.

The schema generator and the codec share this module, so that they agree.
"""

import typing


def convert_to_camel_case(name: str) -> str:
    """Converts a Python name to the case of capnp field names.

    Args:
        name: A snake_case or PascalCase name.

    Returns:
        The name in camelCase.
    """
    head, *rest = name.split("_")
    words = [word.capitalize() for word in rest]
    return head[0].lower() + head[1:] + "".join(words)


def resolve_type(annotation: typing.Any) -> typing.Any:
    """Resolves a `NewType` to the type that it has at run time.

    Args:
        annotation: Type annotation of a field.

    Returns:
        The underlying type; the annotation itself if it is no `NewType`.
    """
    while hasattr(annotation, "__supertype__"):
        annotation = annotation.__supertype__
    return annotation
