"""Formats the results of benchmarks as lines of text."""


def render_line(
    name: str, metric: str, value: float, bound: float | None = None, **more
) -> str:
    """Renders one result as a line of `key=value` pairs.

    Args:
        name: Name of the benchmark.
        metric: What was measured, with its unit.
        value: The result.
        bound: The target or the theoretical bound; None if there is none.
        **more: Further pairs, after the result.

    Returns:
        One line; its `ratio` is the value divided by the bound.
    """
    pairs = [f"bench={name}", f"{metric}={value:.6g}"]
    if bound is not None:
        ratio = value / bound if bound else float("inf") if value else 1.0
        pairs += [f"bound={bound:.6g}", f"ratio={ratio:.4g}"]
    pairs += [f"{key}={item}" for key, item in more.items()]
    return " ".join(pairs)
