"""Steps for replaced disks and the losses that follow them."""

from behave import given
from behave import then
from behave import when

from features.fakes import replacement_run


def _run_rows(context, play):
    """Plays each row with each of its seeds and keeps what failed."""
    context.played, context.broken = 0, []
    for row in context.table:
        cells = row.as_dict()
        for seed in cells.pop("seeds").split():
            context.played += 1
            run = replacement_run.ReplacementRun(
                context.losses, context.catch_up_s, int(seed)
            )
            try:
                play(run, cells)
            # Whatever broke, the row and the seed are what helps.
            except Exception as error:  # pylint: disable=broad-exception-caught
                named = " ".join(f"{k}={v}" for k, v in cells.items())
                context.broken.append(f"{named} seed={seed}: {error!r}")


@given("voters that bear {losses:d} loss, with {catch_up_s:g} s to catch up")
@given("voters that bear {losses:d} losses, with {catch_up_s:g} s to catch up")
def plan_runs(context, losses, catch_up_s):
    context.losses, context.catch_up_s = losses, catch_up_s


@when(
    "cores are replaced elsewhere and others are lost once those had their time"
)
def replace_then_lose(context):
    def play(run, cells):
        if "promoter" in cells["second"]:
            run.hand_over_once_promoted()
        run.replace(cells["first"], int(cells["after_ms"]))
        run.wait_for_next_loss()
        run.lose(cells["second"], cells["fault"])
        run.check_service()

    _run_rows(context, play)


@then("each run commits again within 3 election timeouts and loses nothing")
def check_runs(context):
    assert context.played, "no run"
    broken = context.broken
    text = "\n".join([f"{len(broken)} of {context.played} broke", *broken])
    assert not broken, text
