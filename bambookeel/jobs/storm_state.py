"""What a leader knows of queues whose jobs crash their workers."""

import collections
from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(slots=True)
class StormState:
    """Crashes of the last seconds, and the queues that cause them.

    Attributes:
        crash_times_ms: When workers that crashed had reported last, on the
            steady clock in milliseconds, by queue of the jobs that may have
            caused it.
        queues: Queues whose jobs crash their workers, by service.
    """

    crash_times_ms: dict[str, list[int]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    queues: Mapping[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
