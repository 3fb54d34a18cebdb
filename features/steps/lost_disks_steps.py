"""Steps for random losses of disks before losses of power."""

from behave import when

from features.fakes import lost_disks_run

_LOSSES = 2
_CATCH_UP_S = 6


def _run_all(context, disks, relays):
    context.run_count, context.failures = 0, []
    for row in context.table:
        for seed in row["seeds"].split():
            context.run_count += 1
            run = lost_disks_run.LostDisksRun(
                int(seed), _LOSSES, disks, _CATCH_UP_S, relays
            )
            try:
                run.go()
            except AssertionError as error:
                context.failures.append(
                    f"seed={seed}: {error} after {run.history}"
                )


@when("disks of {disks:d} cores are lost at random before all lose power")
def lose_disks(context, disks):
    _run_all(context, disks, 0)


@when(
    "disks of {disks:d} cores among {relays:d} other machines are lost at"
    " random before all lose power"
)
def lose_disks_among_relays(context, disks, relays):
    _run_all(context, disks, relays)
