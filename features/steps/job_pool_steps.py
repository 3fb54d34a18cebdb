"""Steps for pools whose sizes follow demand."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import objectives
from bambookeel.jobs import pools

_CORES_MILLI = 64_000
_NOW_MS = 100_000


@given("pools")
def set_pools(context):
    context.states = []
    context.spare = ()
    for row in context.table:
        idle = row["idle_ms"]
        members = int(row["members"])
        context.states.append(
            pools.PoolState(
                row["pool"],
                float(row["ready_s"]) * 1_000_000,
                float(row.get("open_s", row["ready_s"])) * 1_000_000,
                int(float(row.get("ready", row["ready_s"])) * 1_000),
                float(row.get("arriving", "0")) * 1_000,
                members * _CORES_MILLI,
                _CORES_MILLI,
                members,
                int(row["needed"]),
                tuple(row["empty"].split(",")) if row["empty"] else (),
                _NOW_MS - int(idle) if idle else -1,
                int(row.get("incoming", "0")),
            )
        )


@given("{count:d} spare instances")
def set_spare(context, count):
    context.spare = tuple(f"s{i}" for i in range(count))


def _choose(context):
    return pools.choose_moves(context.states, "spare", context.spare, _NOW_MS)


@then('{count:d} instances move to "{pool}"')
def check_moves(context, count, pool):
    moves = _choose(context)
    assert [to for _, to in moves] == [pool] * count, moves
    assert len({name for name, _ in moves}) == count, moves


@then("no instance moves")
def check_no_moves(context):
    assert not _choose(context)


@then('the fewest instances that complete its work in time move to "{pool}"')
def check_growth(context, pool):
    moves = _choose(context)
    assert moves and {to for _, to in moves} == {pool}, moves
    state = next(state for state in context.states if state.pool == pool)
    grown_milli = state.capacity_milli + len(moves) * _CORES_MILLI
    assert pools.forecast_ms(state, grown_milli) <= pools.GROW_TO_MS
    less_milli = grown_milli - _CORES_MILLI
    assert pools.forecast_ms(state, less_milli) > pools.GROW_TO_MS


@when("{count:d} jobs of {work:d} core seconds arrive, one every {ms:d} ms")
def add_arrivals(context, count, work, ms):
    context.rate = objectives.ArrivalRate()
    context.now_ms = _NOW_MS
    for _ in range(count):
        context.now_ms += ms
        context.rate.add(work * 1_000_000.0, context.now_ms)


@when("{ms:d} ms pass without arrivals")
def pass_time(context, ms):
    context.now_ms += ms


@then("the arrival rate is at least {cores:d} cores")
def check_min_rate(context, cores):
    rate = context.rate.read(context.now_ms) / 1_000
    assert rate >= cores, rate


@then("the arrival rate is at most {cores:d} cores")
def check_max_rate(context, cores):
    rate = context.rate.read(context.now_ms) / 1_000
    assert rate <= cores, rate
