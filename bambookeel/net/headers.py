"""Checks and filters the header fields that an entry forwards.

Hop-by-hop fields, including those that `Connection` names, are removed in both
directions. All other fields keep their order and their duplicates.
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
# Fields of a request that the entry replaces, answers itself or does not
# forward to the backend server.
_NOT_FORWARDED = _HOP_BY_HOP | frozenset(
    (
        "host",
        "content-length",
        "expect",
        "authorization",
        "x-request-id",
        "x-team",
        "x-deadline-ms",
        "x-backend-incarnation",
    )
)


def _drop_fields(
    fields: Iterable[tuple[str, str]], dropped: frozenset[str]
) -> list[tuple[str, str]]:
    """Removes the given fields and those that `Connection` names.

    Args:
        fields: All fields in order.
        dropped: Names of the fields to remove, in lower case.

    Returns:
        The remaining fields in order.
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
    """Removes the fields that apply to one connection only.

    Args:
        fields: All fields in order.

    Returns:
        The remaining fields in order.
    """
    return tuple(_drop_fields(fields, _HOP_BY_HOP))


def build_request_fields(fields: Fields, team: str) -> Fields:
    """Builds the header fields of a request to a backend server.

    Args:
        fields: The caller's fields in order.
        team: Team of the caller's API key; empty if there is none.

    Returns:
        The caller's fields that are forwarded, followed by the team.
    """
    kept = _drop_fields(fields, _NOT_FORWARDED)
    if team:
        kept.append(("X-Team", team))
    return tuple(kept)


def find_framing_fault(fields: Fields) -> str:
    """Finds header fields that make the framing of a request ambiguous.

    Args:
        fields: The caller's fields.

    Returns:
        The fault, as a sentence for the caller; empty if there is none.
    """
    lengths = set()
    codings = []
    for name, value in fields:
        if any(char in value for char in "\r\n\0"):
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
