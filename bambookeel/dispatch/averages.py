"""Moving averages of service times.

The queue's estimates of waiting and the first charge of a start come from what
requests really took, never from what was declared.
"""

import dataclasses

# Part of a new sample in the average once there are enough samples.
_NEWEST_PART = 0.1
# What a request is taken to need before any has ended.
FIRST_GUESS_MS = 100.0


@dataclasses.dataclass(slots=True)
class Average:
    """A moving average that starts as a plain mean.

    Attributes:
        value_ms: The average.
        samples: Samples taken, at least.
    """

    value_ms: float = FIRST_GUESS_MS
    samples: int = 0


def add_sample(average: Average, sample_ms: float) -> None:
    """Takes one sample in.

    Args:
        average: The average.
        sample_ms: The sample.
    """
    average.samples += 1
    part = max(_NEWEST_PART, 1.0 / average.samples)
    average.value_ms += part * (sample_ms - average.value_ms)
