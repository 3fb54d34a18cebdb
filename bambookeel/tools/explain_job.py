"""`bambookeel explain-job JOB FILE...`: explains the course of a job.

The logs of all processes are merged, and the events that name the job are
printed in order. Then follow the spans during the job in which the voters could
tolerate fewer losses than promised, and a summary of where the job's time went.
"""

import dataclasses
import sys

from bambookeel.tools import log_lines
from bambookeel.tools import loss_spans

EXIT_OK = 0
EXIT_UNKNOWN = 1
EXIT_BAD_INPUT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class JobExplanation:
    """What the logs contain about a job.

    Attributes:
        events: The events that name the job, in order.
        summary: One sentence on the job's course.
        spans: Spans that overlap these events and in which the voters' margin
            was lower than promised.
    """

    events: list[log_lines.LogEvent]
    summary: str
    spans: list[loss_spans.LowMarginSpan]


def _names_job(event: log_lines.LogEvent, job: str) -> bool:
    if event.fields.get("job") == job:
        return True
    return job in event.fields.get("jobs", "").split(",")


def build_explanation(
    events: list[log_lines.LogEvent], job: str
) -> JobExplanation:
    """Builds the explanation of a job.

    Args:
        events: Events of all processes, in order.
        job: The job's id.

    Returns:
        The explanation; without events if none names the job.
    """
    job_events = [event for event in events if _names_job(event, job)]
    spans = loss_spans.find_overlapping_spans(events, job_events)
    return JobExplanation(job_events, _summarise(job_events), spans)


def _summarise(job_events: list[log_lines.LogEvent]) -> str:
    by_name: dict[str, list[log_lines.LogEvent]] = {}
    for event in job_events:
        by_name.setdefault(event.name, []).append(event)
    if not job_events:
        return "no line names it: it never reached a process that logs here"
    admitted = by_name.get("job_admitted")
    refused = by_name.get("job_refused", [])
    if admitted is None:
        return _summarise_not_admitted(by_name, refused)
    admitted_ms = admitted[0].stamp.wall_ms
    parts = [f"admitted after {len(refused)} refusals"]
    assigned = by_name.get("run_assigned")
    if assigned is None:
        parts.append("no worker was given any of its tasks")
    else:
        waited_ms = assigned[0].stamp.wall_ms - admitted_ms
        parts.append(f"first task given after {waited_ms} ms")
    for name, text in (
        ("run_lost", "runs were lost with their worker or not received"),
        (
            "run_unassigned",
            "runs were reported by workers not meant to have them",
        ),
        ("run_stalled", "runs stood still"),
    ):
        if name in by_name:
            parts.append(f"{len(by_name[name])} {text}")
    unsuccessful = [
        event
        for event in by_name.get("run_ended", [])
        if event.fields.get("how") != "done"
    ]
    if unsuccessful:
        parts.append(f"{len(unsuccessful)} runs did not end well")
    parts += _summarise_crashes(by_name)
    for event in by_name.get("job_cancelled", []):
        parts.append(f"cancelled after {event.stamp.wall_ms - admitted_ms} ms")
    for event in by_name.get("job_ended", []):
        took_ms = event.stamp.wall_ms - admitted_ms
        parts.append(f"{event.fields.get('state')} after {took_ms} ms")
    if "job_ended" not in by_name and "job_cancelled" not in by_name:
        parts.append("no end in these logs")
    return "; ".join(parts)


def _summarise_crashes(
    by_name: dict[str, list[log_lines.LogEvent]],
) -> list[str]:
    parts = []
    if "task_suspected" in by_name:
        workers = {
            event.fields.get("worker") for event in by_name["task_suspected"]
        }
        parts.append(f"{len(workers)} workers crashed under its tasks")
    for event in by_name.get("job_given_up", []):
        parts.append(f"given up because of task {event.fields.get('task')}")
    return parts


def _summarise_not_admitted(
    by_name: dict[str, list[log_lines.LogEvent]],
    refused: list[log_lines.LogEvent],
) -> str:
    if refused:
        times = len(refused)
        return f"turned away {times} times, as it could not end in time"
    answers = by_name.get("caller_answered", [])
    statuses = sorted({event.fields.get("status", "") for event in answers})
    return f"never admitted; its calls were answered {', '.join(statuses)}"


def main(arguments: list[str]) -> int:
    """Runs the subcommand.

    Args:
        arguments: The job's id, followed by the names of log files.

    Returns:
        The exit status: 0; 1 if no event names the job; 2 if an argument is
        missing or a file cannot be read.
    """
    if len(arguments) < 2:
        print("explain-job: name a job and log files", file=sys.stderr)
        return EXIT_BAD_INPUT
    job, *names = arguments
    files = []
    for name in names:
        try:
            with open(name, encoding="utf-8", errors="replace") as lines:
                events, _ = log_lines.parse_lines(lines, name)
        except OSError as error:
            print(f"{name}: {error.strerror}", file=sys.stderr)
            return EXIT_BAD_INPUT
        files.append(events)
    explanation = build_explanation(log_lines.merge_events(files), job)
    start_ms = explanation.events[0].stamp.wall_ms if explanation.events else 0
    for event in explanation.events:
        pairs = " ".join(f"{k}={v}" for k, v in event.fields.items())
        after_ms = event.stamp.wall_ms - start_ms
        print(f"+{after_ms:6d} ms {event.process} {event.name} {pairs}")
    for span in explanation.spans:
        print(loss_spans.describe_span(span, start_ms))
    print(f"job {job}: {explanation.summary}")
    return EXIT_OK if explanation.events else EXIT_UNKNOWN
