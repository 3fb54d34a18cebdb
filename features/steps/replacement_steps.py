"""Steps for replaced voters and the losses that follow."""

from behave import given
from behave import then
from behave import when

from features.fakes import replacement_run

# A voter without contact for at most this time keeps its vote.
_SHORT_MS = 1_000
# Membership changes caused by one freeze: a spare core is added and promoted,
# and the silent voter is demoted.
_MAX_CHANGES = 3


def _run_cases(context, run_case):
    """Runs each row of the table with each of its seeds; collects failures."""
    context.run_count, context.failures = 0, []
    for row in context.table:
        cells = row.as_dict()
        for seed in cells.pop("seeds").split():
            context.run_count += 1
            try:
                run = replacement_run.ReplacementRun(
                    context.losses,
                    context.catch_up_s,
                    int(seed),
                    context.gap_ms,
                )
                run_case(run, cells)
            # Any failure is reported with its row and seed.
            except Exception as error:  # pylint: disable=broad-exception-caught
                named = " ".join(f"{k}={v}" for k, v in cells.items())
                context.failures.append(f"{named} seed={seed}: {error!r}")


@given(
    "voters that tolerate {losses:d} loss, with {catch_up_s:g} s to catch up"
)
@given(
    "voters that tolerate {losses:d} losses, with {catch_up_s:g} s to catch up"
)
def plan_runs(context, losses, catch_up_s):
    context.losses, context.catch_up_s = losses, catch_up_s
    context.gap_ms = 20


@given("a command every {gap:d} ms")
def set_gap(context, gap):
    context.gap_ms = gap


@when(
    "cores are replaced by new ones and others are lost after the time to"
    " catch up"
)
def replace_then_lose(context):
    def run_case(run, cells):
        if cells.get("spare") == "yes":
            run.add_core()
        if "promoter" in cells["second"]:
            run.hand_over_once_promoted()
        run.replace(cells["first"], int(cells["after_ms"]))
        run.wait_for_next_loss()
        run.lose(cells["second"], cells["fault"])
        run.check_service()

    _run_cases(context, run_case)


@when("leadership is handed over between a replacement and the next loss")
def replace_with_new_leader(context):
    def run_case(run, cells):
        run.replace(cells["first"], 1_000)
        run.change_leader(int(cells["moved_ms"]))
        run.wait_for_next_loss()
        run.lose(cells["second"], "killed")
        run.check_service()

    _run_cases(context, run_case)


@when(
    "the leader is stopped and started between a replacement and the next loss"
)
def replace_with_restart(context):
    def run_case(run, cells):
        run.replace(cells["first"], 1_000)
        back_ms = run.restart_leader(int(cells["stopped_ms"]))
        # Both the restarted and the replaced voter count as lost until the
        # restart, so that one tolerated loss is available only after it.
        run.wait_for_next_loss(back_ms if context.losses == 1 else None)
        run.lose(cells["second"], "killed")
        run.check_service()

    _run_cases(context, run_case)


@when("a core starts, a voter is stopped as planned, and another is lost")
def replace_as_planned(context):
    def run_case(run, cells):
        if "promoter" in cells["second"]:
            run.hand_over_once_promoted()
        run.replace_as_planned(cells["first"], 1_000)
        run.wait_for_next_loss()
        run.lose(cells["second"], cells["fault"])
        run.check_service()

    _run_cases(context, run_case)


@when("disks are wiped, and later others during a power failure of all cores")
def wipe_twice(context):
    def run_case(run, cells):
        run.wipe(cells["first"])
        run.wait_for_next_loss()
        run.lose_power(cells["second"])
        run.check_service()

    _run_cases(context, run_case)


@when("each voter is replaced in turn and the leader is killed at the end")
def replace_all(context):
    def run_case(run, _cells):
        for first in ("follower", "leader", "follower"):
            run.replace(first, 1_000)
            run.wait_for_next_loss()
        run.lose("leader", "killed")
        run.check_service()

    _run_cases(context, run_case)


@when("a core starts on the leader's side of a partition, and others are lost")
def split_then_lose(context):
    def run_case(run, cells):
        waits = cells["first"] == "none"
        run.partition_with_leader(
            "" if waits else cells["first"], int(cells["split_ms"])
        )
        run.cluster.run_for(run.catch_up_ms)
        if waits:
            run.lose("follower", "killed")
            run.cluster.run_for(run.catch_up_ms)
        run.check_votes()
        run.lose(cells["second"], "killed")
        run.check_service()

    _run_cases(context, run_case)


@when("a voter is replaced by a core with a slower link")
def replace_by_slow(context):
    def run_case(run, cells):
        run.replace(cells["first"], int(cells["after_ms"]), is_slow=True)
        run.wait_for_next_loss()
        run.check_votes()
        run.lose(cells["second"], "killed")
        run.check_service()

    _run_cases(context, run_case)


@when("a voter is {fault} for {duration:d} ms")
def disturb_voter(context, fault, duration):
    def run_case(run, cells):
        if cells["spare"] == "yes":
            run.add_core()
            run.cluster.run_for(run.catch_up_ms)
        run.disturb(*run.pick(cells["who"]), fault, duration)
        leader = run.cluster.find_leader()
        term = leader.core.term if leader else 0
        run.cluster.run_for(run.catch_up_ms)
        if duration <= _SHORT_MS:
            run.check_same_voters()
        else:
            assert leader is run.cluster.find_leader(), "the leader changed"
            assert term == leader.core.term, "the term changed"
        changes = run.count_changes()
        assert changes <= _MAX_CHANGES, f"{changes} changes of membership"
        run.lose("leader", "killed")
        run.check_service()

    _run_cases(context, run_case)


@when("the same voter freezes every 5 s for 30 s")
def freeze_again(context):
    def run_case(run, cells):
        if cells["spare"] == "yes":
            run.add_core()
            run.cluster.run_for(run.catch_up_ms)
        frozen_ms = int(cells["frozen_ms"])
        node = run.pick(cells["who"])[0]
        for _ in range(6):
            before = run.count_changes()
            run.disturb(node, "frozen", frozen_ms)
            run.cluster.run_for(5_000 - frozen_ms)
            changes = run.count_changes() - before
            assert changes <= _MAX_CHANGES, f"{changes} changes of membership"
        if frozen_ms <= _SHORT_MS:
            run.check_same_voters()
        run.check_service()

    _run_cases(context, run_case)


@then("each run commits again within 3 election timeouts and loses no commit")
def check_runs(context):
    assert context.run_count, "no run"
    failures = context.failures
    text = "\n".join(
        [f"{len(failures)} of {context.run_count} runs failed", *failures]
    )
    assert not failures, text
