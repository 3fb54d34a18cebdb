"""Draws jobs of every shape for the random check of the job interface."""

from bambookeel.jobs import specs

SHAPES = (
    "plain",
    "chain",
    "gang",
    "copies",
    "standing",
    "timed",
    "label",
    "data",
    "apart",
    "checkpoints",
    "filler",
    "long",
)
RACKS = 3
_LONG_MS = 200_000
# Few jobs are long, as the time that is simulated follows the longest one.
_LONG_RATE = 0.008


def draw_shape(source):
    """Draws the shape of a job."""
    if source.random() < _LONG_RATE:
        return "long"
    return source.choice([shape for shape in SHAPES if shape != "long"])


def draw_spec(source, shape, now_wall_ms):
    """Draws a job of one shape; other shapes are mixed in at random."""
    count = 3 if shape == "chain" else source.choice([1, 1, 2])
    if shape in ("standing", "long", "timed"):
        count = 1
    steps = tuple(_draw_step(source, shape, i) for i in range(count))
    body = f"body-{source.randrange(10**6)}"
    if shape != "timed":
        return specs.JobSpec(body, steps)
    first_ms = now_wall_ms + source.randrange(-500, 4_000)
    return specs.JobSpec(
        body, steps, source.randrange(1, 4), first_ms, source.choice([0, 700])
    )


def _draw_step(source, shape, number):
    is_gang = shape == "gang" and number == 0
    is_standing = shape == "standing"
    estimate_ms = int(10 ** source.uniform(1, 3.5))
    if shape == "long":
        estimate_ms = _LONG_MS
    after = ()
    if number:
        after = tuple(sorted({number - 1, source.randrange(number)}))
    return specs.StepSpec(
        count=source.randrange(1, 3 if shape == "long" else 5),
        needs=specs.Resources(
            source.randrange(200, 1_500 if is_gang or is_standing else 4_000),
            source.randrange(100, 2_000),
            0,
        ),
        estimate_ms=estimate_ms,
        after=after,
        checkpoints=shape == "checkpoints" or source.random() < 0.2,
        is_gang=is_gang,
        wants_one_rack=is_gang and source.random() < 0.5,
        label=source.choice(["a", "b"]) if shape == "label" else "",
        data_rack=f"r{source.randrange(RACKS)}" if shape == "data" else "",
        max_per_instance=2 if shape == "apart" else 0,
        allows_copies=shape == "copies",
        is_standing=is_standing,
        is_filler=shape == "filler",
        max_missing=1 if is_standing else 0,
    )
