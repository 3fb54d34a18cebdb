"""Measures the dispatch decisions and compares them with simple baselines.

Shares, slot use, goodput and urgent starts are measured in simulated time; the
cost of a decision is measured in real time on this machine.
"""

import time

from bambookeel.core import messages
from bambookeel.dispatch import allotments
from bambookeel.net import codec
from bench import dispatch_load
from bench import lines

_SLOTS = 48
_BACKENDS = 6
_LENGTH_MS = 60_000
_SEED = 11
_MEAN_USE_S = sum(t.rate * t.use_ms for t in dispatch_load.TEAMS) / 1_000.0
# Requests per second that use the pool's slots exactly.
_CAPACITY_RATE = _SLOTS / _MEAN_USE_S


def _build_policies():
    return {
        "dispatcher": dispatch_load.DispatcherPolicy(_BACKENDS, 8),
        "first-come": dispatch_load.FirstComePolicy(_SLOTS),
        "leased-slots": dispatch_load.LeasedSlotsPolicy(_SLOTS),
    }


def _find_largest_distance(result) -> float:
    """Finds the largest relative deviation from a fair share in any window."""
    weights = {team.name: team.weight for team in dispatch_load.TEAMS}
    worst = 0.0
    # The queue is still filling in the first window.
    for window in result.windows[1:]:
        total = sum(window.values())
        for name, weight in weights.items():
            share = weight / sum(weights.values())
            worst = max(worst, abs(window.get(name, 0) / total / share - 1))
    return worst


def _measure_shares():
    """Measures shares while every team demands more than its share."""
    for name, policy in _build_policies().items():
        result = dispatch_load.run_load(
            policy, _SLOTS, lambda _: 12 * _CAPACITY_RATE, _LENGTH_MS, _SEED
        )
        distance = _find_largest_distance(result)
        yield lines.render_line(
            "dispatch", "share_distance", distance, 0.05, policy=name
        )


def _get_bursty_rate(now_ms) -> float:
    """Returns 5 times the mean for a fifth of the time, else a twentieth."""
    mean = 0.5 * _CAPACITY_RATE
    return 5 * mean if now_ms % 20_000 < 4_000 else mean / 20


def _measure_bursts():
    for name, policy in _build_policies().items():
        result = dispatch_load.run_load(
            policy, _SLOTS, _get_bursty_rate, _LENGTH_MS, _SEED
        )
        used = result.busy_slot_ms_in_backlog / max(
            1, result.slot_ms_in_backlog
        )
        yield lines.render_line(
            "dispatch", "slot_use_in_backlog", used, 0.97, policy=name
        )


def _measure_goodput():
    """Measures goodput at 1 and 5 times the capacity, with 3 s deadlines."""
    for name in _build_policies():
        answered_in_time = []
        for times in (1, 5):
            result = dispatch_load.run_load(
                _build_policies()[name],
                _SLOTS,
                lambda _, times=times: times * _CAPACITY_RATE,
                _LENGTH_MS,
                _SEED,
                deadline_ms=3_000,
            )
            answered_in_time.append(result.answered_in_time)
        yield lines.render_line(
            "dispatch",
            "goodput_5x_to_1x",
            answered_in_time[1] / answered_in_time[0],
            0.95,
            policy=name,
        )


def _measure_urgent():
    for name, policy in _build_policies().items():
        result = dispatch_load.run_load(
            policy,
            _SLOTS,
            lambda _: 2 * _CAPACITY_RATE,
            _LENGTH_MS,
            _SEED,
            urgent_part=0.02,
        )
        waits = sorted(result.urgent_waits)
        late = waits[int(len(waits) * 0.999)] / 1_000.0
        yield lines.render_line(
            "dispatch",
            "urgent_start_p999_s",
            late,
            2.2,
            policy=name,
            samples=len(waits),
        )


class _LimitSimulation:
    """Five services that take turns in demanding most of one team's limit."""

    def __init__(self, limit):
        self.limit = limit
        self.services = [f"s{i}" for i in range(5)]
        self.running = dict.fromkeys(self.services, 0)
        self.excess = 0
        self._allotted = dict.fromkeys(self.services, 0)
        self._nonce = 0
        self._ledger = allotments.AllotmentLedger()
        allotments.become_leader(self._ledger, 1)
        epochs = {service: 1 for service in self.services}
        self._inputs = allotments.AllotmentInputs({"coach": limit}, epochs)

    def report(self, service, wanted):
        """Reports a service's demand and starts as many as are allotted."""
        # Requests are assumed to end within about two reports.
        running = min(self._allotted[service], wanted)
        self._nonce += 1
        demand = messages.TeamDemand(
            "coach", service, running, wanted - running, self._allotted[service]
        )
        report = messages.ServiceReport(service, 1, True)
        request = messages.AllotmentRequest(
            self._nonce, (demand,), (report,), 1
        )
        reply = allotments.handle_request(
            self._ledger, self._inputs, request, 1_500
        )
        self._allotted[service] = max(
            [allotment.amount for allotment in reply.allotments], default=0
        )
        self.running[service] = min(self._allotted[service], wanted)
        excess = sum(self.running.values()) - self.limit
        self.excess = max(self.excess, excess)


def _measure_limits():
    run = _LimitSimulation(40)
    used = even_split_used = possible = 0
    for step in range(2_000):
        busy = run.services[(step // 20) % 5]
        wants = {s: 60 if s == busy else 2 for s in run.services}
        for service, wanted in wants.items():
            run.report(service, wanted)
        used += sum(run.running.values())
        even_split_used += sum(min(w, run.limit // 5) for w in wants.values())
        possible += min(run.limit, sum(wants.values()))
    yield lines.render_line("dispatch", "limit_excess", run.excess, 0)
    for name, amount in (("allotments", used), ("even-split", even_split_used)):
        yield lines.render_line(
            "dispatch", "limit_use", amount / possible, 0.95, policy=name
        )


def _time_decision(teams: int, backends: int) -> float:
    """Measures the time of one request and its release, in microseconds."""
    named = tuple(
        dispatch_load.Team(f"t{i}", 1.0, 1.0 / teams, 200.0)
        for i in range(teams)
    )
    policy = dispatch_load.DispatcherPolicy(backends, 8, named, 4 * teams)
    requests = [
        dispatch_load.LoadRequest(i, named[i % teams], 200, 0, 1 << 40)
        for i in range(backends * 8 + 4 * teams + 4_000)
    ]
    position = backends * 8 + 3 * teams
    running = []
    for request in requests[:position]:
        running.extend(policy.offer(request, 1))
    started = time.perf_counter()
    finished = 0
    for request in requests[position : position + 4_000]:
        running.extend(policy.offer(request, 2))
        running.extend(policy.finish(running[finished], 3))
        finished += 1
    return (time.perf_counter() - started) / finished * 1e6


def _measure_cost():
    small = min(_time_decision(6, 6) for _ in range(3))
    yield lines.render_line("dispatch", "decision_us_6_teams_6_backends", small)
    for teams, backends in ((230, 6), (6, 1_200), (230, 1_200)):
        cost = min(_time_decision(teams, backends) for _ in range(3))
        # The cost may grow as log n from the small to the large number.
        bound = 1.0
        for large in (teams, backends):
            bound *= _log_ratio(large, 6)
        yield lines.render_line(
            "dispatch",
            f"decision_cost_growth_{teams}_teams_{backends}_backends",
            cost / small,
            bound,
            decision_us=f"{cost:.1f}",
        )


def _log_ratio(large: int, small: int) -> float:
    return large.bit_length() / small.bit_length()


def _measure_bytes():
    policy = dispatch_load.DispatcherPolicy(_BACKENDS, 8)
    dispatch_load.run_load(policy, _SLOTS, _get_bursty_rate, _LENGTH_MS, _SEED)
    sent = sum(len(codec.encode_message(message)) for message in policy.sent)
    frames = len(policy.sent) * 12
    yield lines.render_line(
        "dispatch",
        "sent_bytes_a_second",
        (sent + frames) / (_LENGTH_MS / 1_000),
        messages_a_second=f"{len(policy.sent) / (_LENGTH_MS / 1_000):.0f}",
    )


def measure():
    """Yields the result lines of all measurements."""
    yield from _measure_shares()
    yield from _measure_bursts()
    yield from _measure_goodput()
    yield from _measure_urgent()
    yield from _measure_limits()
    yield from _measure_cost()
    yield from _measure_bytes()
