"""Renders the output of the command line as text or JSON, and exit statuses."""

import json
import typing

from bambookeel.tools import cli_client

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_USAGE = 2
EXIT_CONFLICT = 3
EXIT_NOT_FOUND = 4
EXIT_UNAVAILABLE = 5
EXIT_FORBIDDEN = 6
_EXIT_BY_STATUS = {
    cli_client.NO_ANSWER: EXIT_UNAVAILABLE,
    401: EXIT_FORBIDDEN,
    403: EXIT_FORBIDDEN,
    404: EXIT_NOT_FOUND,
    409: EXIT_CONFLICT,
    410: EXIT_CONFLICT,
    503: EXIT_UNAVAILABLE,
}


def get_exit_status(answer: cli_client.Answer) -> int:
    """Returns the exit status for an answer.

    Args:
        answer: Answer whose HTTP status is mapped.

    Returns:
        One of the `EXIT_` constants.
    """
    if 200 <= answer.status < 300:
        return EXIT_OK
    return _EXIT_BY_STATUS.get(answer.status, EXIT_REFUSED)


def render_json(document: typing.Any) -> str:
    """Renders a document as JSON.

    Args:
        document: The document as plain data.

    Returns:
        One line of JSON.
    """
    return json.dumps(document, sort_keys=True)


def render_spec(spec: dict[str, typing.Any]) -> str:
    """Renders a spec in one line.

    Args:
        spec: The spec as plain data.

    Returns:
        The fields as `name=value`, with `-` for an empty text.
    """
    pairs = []
    for name, value in spec.items():
        text = value if isinstance(value, str) else json.dumps(value)
        pairs.append(f"{name}={text or '-'}")
    return " ".join(pairs)


def render_table(rows: list[list[str]]) -> str:
    """Renders rows with aligned columns.

    Args:
        rows: The cells of each row; the first row is the header.

    Returns:
        Lines of text.
    """
    widths = [max(len(cell) for cell in column) for column in zip(*rows)]
    lines = []
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths)]
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def render_resources(items: list[dict[str, typing.Any]]) -> str:
    """Renders resources as a table.

    Args:
        items: The resources as the API lists them.

    Returns:
        Lines of text.
    """
    rows = [["RESOURCE", "VERSION", "STATE", "SPEC"]]
    for item in items:
        rows.append(
            [
                f"{item['kind']}/{item['name']}",
                str(item["version"]),
                item["status"]["state"] or "-",
                render_spec(item["spec"]),
            ]
        )
    return render_table(rows)


def render_explanation(item: dict[str, typing.Any]) -> str:
    """Renders a resource with the conditions and details of its status.

    Args:
        item: The resource as the API returns it.

    Returns:
        Lines of text.
    """
    status = item["status"]
    lines = [
        f"{item['kind']}/{item['name']} version {item['version']}",
        f"  spec: {render_spec(item['spec'])}",
        f"  state: {status['state'] or 'not reported yet'}",
    ]
    if status["spec_version"] != item["spec_version"]:
        lines.append(
            f"  the status speaks of spec version {status['spec_version']},"
            f" the spec has version {item['spec_version']}"
        )
    for condition in status["conditions"]:
        word = "yes" if condition["holds"] else "no"
        lines.append(
            f"  {condition['name']}: {word} ({condition['reason']})"
            f" {condition['message']}"
        )
    for name, value in sorted(status["details"].items()):
        lines.append(f"  {name}: {value}")
    return "\n".join(lines)


def render_status(document: dict[str, typing.Any]) -> str:
    """Renders the status of the deployment.

    Args:
        document: The document that the API returns for `/v1/status`.

    Returns:
        Lines of text.
    """
    lines = [
        f"leader {document['leader'] or 'unknown'} in term {document['term']},"
        f" version {document['version']},"
        f" {document['resources']} resources (told by"
        f" {document['process_id']})",
    ]
    for replica in document["replicas"]:
        word = "leader" if replica["leader"] else "replica"
        lines.append(
            f"  {word} {replica['process_id']} in {replica['data_centre']}"
        )
    rows = [["ENTRY", "APPLIED", "BEHIND", "BEHIND_MS", "HEARD_MS", "IS"]]
    for entry in document["entries"]:
        rows.append(
            [
                entry["process_id"],
                str(entry["applied_version"]),
                str(entry["versions_behind"]),
                str(entry["behind_ms"]),
                str(entry["heard_ms_ago"]),
                entry["condition"],
            ]
        )
    lines.append(render_table(rows))
    return "\n".join(lines)


def render_refusal(answer: cli_client.Answer) -> str:
    """Renders a refusal with all its faults.

    Args:
        answer: Answer with the problem+json document of the refusal.

    Returns:
        Lines of text.
    """
    document = answer.document
    outcome = document.get("outcome", "unknown")
    head = f"refused ({answer.status or 'no answer'}, {outcome})"
    found = document.get("faults") or []
    lines = [f"{head}: {document.get('detail', '')}"]
    # A single fault is already contained in the detail.
    for fault in found if len(found) > 1 else ():
        lines.append(f"  {fault['place']}: {fault['message']}")
    current = document.get("current")
    if current:
        lines.append(
            f"  holds: {current['kind']}/{current['name']} version"
            f" {current['version']} {render_spec(current['spec'])}"
        )
    return "\n".join(lines)
