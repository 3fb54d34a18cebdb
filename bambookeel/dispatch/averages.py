"""Moving averages of service times.

The queue's estimates of waiting and the first charge of a start come from what
requests really took, never from what was declared.
"""

import dataclasses

# Part of a new sample in the average once there are enough samples.
_NEWEST_PART = 0.1
# Part by which the shortest sample follows longer ones.
_SHORTEST_RISE = 0.05
# What a request is taken to need before any has ended.
FIRST_GUESS_MS = 100.0


@dataclasses.dataclass(slots=True)
class Average:
    """A moving average that starts as a plain mean.

    Attributes:
        value_ms: The average.
        samples: Samples taken, at least.
        shortest_ms: The shortest recent time of an answered request; 0 before
            any was answered.
    """

    value_ms: float = FIRST_GUESS_MS
    samples: int = 0
    shortest_ms: float = 0.0


def add_sample(average: Average, sample_ms: float) -> None:
    """Takes one sample in.

    Args:
        average: The average.
        sample_ms: The sample.
    """
    average.samples += 1
    part = max(_NEWEST_PART, 1.0 / average.samples)
    average.value_ms += part * (sample_ms - average.value_ms)


def note_answered(average: Average, used_ms: float) -> None:
    """Follows the shortest recent time of answered requests.

    Args:
        average: The average of the same requests.
        used_ms: What an answered request took.
    """
    if not average.shortest_ms or used_ms < average.shortest_ms:
        average.shortest_ms = used_ms
        return
    rise_ms = used_ms - average.shortest_ms
    average.shortest_ms += _SHORTEST_RISE * rise_ms
