"""Limits that a configuration sets for callers."""

import dataclasses

from bambookeel.core import json_input


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of callers' requests; the defaults hold without a configuration.

    Attributes:
        max_header_bytes: Largest size of a request's head.
        max_body_bytes: Largest size of a request's body.
        header_timeout_ms: Time in which a head must arrive.
        idle_timeout_ms: Time without a byte after which a connection is closed.
    """

    max_header_bytes: json_input.WholeAboveZero = 16_384
    max_body_bytes: json_input.WholeAboveZero = 262_144
    header_timeout_ms: json_input.WholeAboveZero = 3_000
    idle_timeout_ms: json_input.WholeAboveZero = 15_000


DEFAULT = ClientLimits()
