"""Addresses of the form `ip:port`."""

import ipaddress
import typing

import msgspec

# Address of a process that the platform names: an IP address or a host name.
HostPort = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r"\A(\[[0-9A-Fa-f:.]+\]|[^\s:/\[\]]+):0*([1-9][0-9]{0,3}|[1-5]"
        r"[0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])\Z",
        max_length=255,
    ),
]
Port = typing.Annotated[int, msgspec.Meta(ge=1, le=65_535)]


def parse_address(text: str) -> tuple[str, int]:
    """Parses the address of a socket.

    Args:
        text: `ip:port`; an IPv6 address stands in brackets.

    Returns:
        The IP address and the port.

    Raises:
        ValueError: If the text is not of this form or its IP address is
            invalid.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"address {text!r} is not of the form ip:port")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return host, int(port)


def replace_ports(entries: list[object], port: int) -> list[str]:
    """Lists the addresses of one port at the hosts of other addresses.

    Args:
        entries: Addresses of the form `ip:port`; any other value is skipped.
        port: Port of the result.

    Returns:
        Address of each host, with the port.
    """
    found = []
    for entry in entries:
        if not isinstance(entry, str):
            continue
        try:
            parse_address(entry)
        except ValueError:
            continue
        found.append(f"{entry.rpartition(':')[0]}:{port}")
    return found
