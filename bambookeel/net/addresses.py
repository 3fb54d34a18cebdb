"""Addresses of the form `ip:port`."""

import ipaddress


def parse_address(text: str) -> tuple[str, int]:
    """Parses an address.

    Args:
        text: `ip:port`, with an IPv6 number in brackets.

    Returns:
        The IP number and the port.

    Raises:
        ValueError: If the text has another form.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"address {text!r} is not of the form ip:port")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    return host, int(port)
