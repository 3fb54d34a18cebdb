"""The form of a measurement's line."""


def render_line(
    name: str, metric: str, value: float, bound: float | None = None, **more
) -> str:
    """Renders one measurement.

    Args:
        name: The measurement.
        metric: What was measured, with its unit.
        value: The figure.
        bound: The target or lower bound, if any.
        **more: Further pairs.

    Returns:
        One line; `ratio` is the value over the bound.
    """
    pairs = [f"bench={name}", f"{metric}={value:.6g}"]
    if bound is not None:
        ratio = value / bound if bound else float("inf") if value else 1.0
        pairs += [f"bound={bound:.6g}", f"ratio={ratio:.4g}"]
    pairs += [f"{key}={item}" for key, item in more.items()]
    return " ".join(pairs)
