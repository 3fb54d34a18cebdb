"""Steps for callers who compete for too little capacity."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import work_ahead
from features.fakes import jobs_competition
from features.fakes import jobs_competition_loads as loads

_CORE_S = 1_000_000.0
_SERVED = ("in_time", "late")


@given("work of {core_s:d} core seconds that is due in {ms:d} ms")
def add_work_ahead(context, core_s, ms):
    if "ahead" not in context:
        context.ahead = work_ahead.WorkAhead([])
    context.ahead.add(work_ahead.Entry(ms, core_s * _CORE_S))


def _is_in_time(context, core_s, ms, cores):
    return work_ahead.is_in_time(
        context.ahead.sum_before(ms), core_s * _CORE_S, 700, ms, cores * 1_000
    )


@then(
    "a job of {core_s:d} core seconds that is due in {ms:d} ms is in time on"
    " {cores:d} cores"
)
def check_in_time(context, core_s, ms, cores):
    assert _is_in_time(context, core_s, ms, cores)


@then(
    "a job of {core_s:d} core seconds that is due in {ms:d} ms is not in time"
    " on {cores:d} cores"
)
def check_not_in_time(context, core_s, ms, cores):
    assert not _is_in_time(context, core_s, ms, cores)


@when('the load "{name}" is replayed with seed {seed:d}')
def replay_load(context, name, seed):
    run = jobs_competition.Run(loads.PATTERNS[name], seed)
    context.callers = run.replay()
    context.sim = run.simulation


def _measure_share(context, kind, outcomes):
    chosen = [
        caller
        for caller in context.callers
        if kind in (caller.kind, caller.stream.team, caller.stream.queue)
    ]
    assert chosen, kind
    return sum(caller.outcome in outcomes for caller in chosen) / len(chosen)


@then('at least {percent:d} % of the "{kind}" jobs were in time')
def check_share_in_time(context, percent, kind):
    share = _measure_share(context, kind, ("in_time",))
    assert share >= percent / 100, share


@then('at least {percent:d} % of the "{kind}" jobs were served')
def check_share_served(context, percent, kind):
    share = _measure_share(context, kind, _SERVED)
    assert share >= percent / 100, share


@then('at most {percent:d} % of the "{kind}" jobs were in time')
def check_share_at_most(context, percent, kind):
    share = _measure_share(context, kind, ("in_time",))
    assert share <= percent / 100, share


@then(
    'at least {percent:d} % of the jobs of each team but "{name}" were in time'
)
def check_other_teams(context, percent, name):
    others = {caller.stream.team for caller in context.callers} - {name}
    shares = {
        team: _measure_share(context, team, ("in_time",)) for team in others
    }
    assert min(shares.values()) >= percent / 100, shares
