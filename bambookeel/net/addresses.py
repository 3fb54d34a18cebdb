"""Addresses of the form `ip:port`."""

import ipaddress


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
