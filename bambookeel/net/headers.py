"""Header fields on their way through an entry.

Fields that speak of one connection only are taken off in both directions, the
ones that `Connection` names included; all others keep their order and their
duplicates.
"""

from collections.abc import Iterable

Fields = tuple[tuple[str, str], ...]

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Set anew, answered by the entry itself, or not for the backend server.
_OWN_FIELDS = _HOP_BY_HOP | frozenset(
    (
        "host",
        "content-length",
        "expect",
        "authorization",
        "x-request-id",
        "x-team",
        "x-deadline-ms",
    )
)


def _drop_fields(
    fields: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Drops fields, and those that `Connection` names.

    Args:
        fields: All fields.
        dropped: Names in lower case.

    Returns:
        The others, in order.
    """
    kept = []
    named: set[str] = set()
    for field in fields:
        lowered = field[0].lower()
        if lowered not in dropped:
            kept.append(field)
        elif lowered == "connection":
            named.update(part.strip().lower() for part in field[1].split(","))
    if named:
        kept = [field for field in kept if field[0].lower() not in named]
    return kept


def strip_hop_by_hop(fields: Fields) -> Fields:
    """Takes off the fields that speak of one connection.

    Args:
        fields: Fields in order.

    Returns:
        The others, in order.
    """
    return tuple(_drop_fields(fields, _HOP_BY_HOP))


def build_request_fields(fields: Fields, team: str) -> Fields:
    """Builds the fields of a request to a backend server.

    Args:
        fields: The caller's fields in order.
        team: The team of the caller's key; empty without one.

    Returns:
        The caller's fields without the entry's own, and the team.
    """
    kept = _drop_fields(fields, _OWN_FIELDS)
    if team:
        kept.append(("X-Team", team))
    return tuple(kept)


def find_fault(fields: Fields) -> str:
    """Finds what makes a request's framing ambiguous.

    Args:
        fields: The caller's fields.

    Returns:
        The fault, or empty when there is none.
    """
    lengths = set()
    codings = []
    for name, value in fields:
        if any(mark in value for mark in "\r\n\0"):
            return f"the value of {name!r} holds a line break or a zero byte"
        lowered = name.lower()
        if lowered == "content-length":
            lengths.add(value.strip())
        elif lowered == "transfer-encoding":
            codings.append(value.strip().lower())
    if len(lengths) > 1:
        return f"Content-Length is given as {sorted(lengths)}"
    if codings and lengths:
        return "both Content-Length and Transfer-Encoding are given"
    if codings and codings != ["chunked"]:
        return f"the only Transfer-Encoding taken is chunked, not {codings}"
    for length in lengths:
        if not (length.isascii() and length.isdigit() and len(length) <= 18):
            return f"Content-Length {length!r} is no number of bytes"
    return ""
