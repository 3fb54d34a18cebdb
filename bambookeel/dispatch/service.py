"""The state of one service's dispatcher.

One process at a time holds a service's dispatch lease and runs the steps of
this package on this record. The steps change it and give effects; time comes
in as `now_ms` on the holder's own clock.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.dispatch import averages
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import grant_table
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import retry_budgets
from bambookeel.dispatch import team_limits

# Time from a grant in which its entry must have sent the request.
START_WITHIN_MS = 500
# Ended requests that estimates need at least.
MIN_SAMPLES = 20
# Time from a grant after which a backend server's own count includes it: the
# start, and the resending of a connection that is about to fail.
SETTLE_MS = START_WITHIN_MS + 2_000
# Weight of requests without a team on a queue open to all.
NO_TEAM_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What a dispatcher knows of the processes.

    Attributes:
        process_id: Its own process.
        data_centres: Where each entry stands, the own process included.
        probe_connections: Connections of each server kept free for probes.
    """

    process_id: ids.ProcessId
    data_centres: dict[ids.ProcessId, ids.DataCentre]
    probe_connections: int = 4


@dataclasses.dataclass(slots=True)
class RecoveryProgress:
    """What a new holder has heard of one entry.

    Attributes:
        asked_at_ms: When it was first asked on this link; None before.
        last_asked_at_ms: When it was last asked.
        answer_covers_until_ms: A grant made before this and not listed in the answer
            never reached the entry.
        alive_since_ms: When it started, as it told; None before.
        restored: Whether it keeps every record that it should.
        had_all_records: Whether its first answer in this epoch held every record
            that it should keep; None before.
        outstanding_reported: Whether it told what it has outstanding.
        fully_counted: Whether everything of it is counted, earlier lives included.
    """

    asked_at_ms: int | None = None
    last_asked_at_ms: int = 0
    answer_covers_until_ms: int = 0
    alive_since_ms: int | None = None
    restored: bool = False
    had_all_records: bool | None = None
    outstanding_reported: bool = False
    fully_counted: bool = False

    def has_answered(self) -> bool:
        """Tells whether the entry has answered both questions.

        Returns:
            Whether nothing more is awaited of it.
        """
        return self.outstanding_reported and self.alive_since_ms is not None


@dataclasses.dataclass(slots=True)
class PendingCopy:
    """A request whose idempotency record is being copied.

    Attributes:
        waiting: The request.
        target: The process asked to keep the copy.
        asked_at_ms: When it was asked.
    """

    waiting: fair_queue.WaitingRequest
    target: ids.ProcessId
    asked_at_ms: int


@dataclasses.dataclass(slots=True)
class ServiceState:
    """Everything that the holder of one service's lease knows.

    Attributes:
        service: The service.
        epoch: The holder's epoch.
        spec: The service's declared settings.
        deployment: The processes.
        started_at_ms: When the epoch's lease first held; None before.
        lease_until_ms: When the dispatch lease ends on the own clock.
        ready: Whether recovery is far enough for granting.
        all_counted: Whether everything that may be running is counted.
        released: Whether the lease was given up; nothing is granted after.
        reachable: Entries with a link, the own process included.
        progress_by_entry: What was heard of each entry.
        weights: Share weights by team.
        upper_limits: Fleet-wide upper limits by team.
        use_by_team: Average time in a slot, by team.
        overall_use: Average time in a slot over all teams.
        slots: Slots of usable servers at the last tick.
        recharges: Heap of grants by the time their charge is used up.
        pending_copies: Requests by the nonce of their record's copy.
        copy_nonces: The nonces by request.
        deferred: Requests with an Idempotency-Key that came before recovery.
        failed_once: Requests whose second try needs the retry budget.
        entries_to_ask_again: Entries to be asked again about long requests.
        last_nonce: The newest nonce.
        incomplete_announced: Whether the entries know that records may be missing.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    spec: resources.ServiceSpec
    deployment: Deployment
    started_at_ms: int | None = None
    lease_until_ms: int = 0
    ready: bool = False
    all_counted: bool = False
    released: bool = False
    reachable: set[ids.ProcessId] = dataclasses.field(default_factory=set)
    progress_by_entry: dict[ids.ProcessId, RecoveryProgress] = dataclasses.field(
        default_factory=dict
    )
    weights: dict[ids.TeamName, float] = dataclasses.field(default_factory=dict)
    upper_limits: dict[ids.TeamName, int] = dataclasses.field(
        default_factory=dict
    )
    use_by_team: dict[ids.TeamName, averages.MovingAverage] = dataclasses.field(
        default_factory=dict
    )
    overall_use: averages.MovingAverage = dataclasses.field(
        default_factory=averages.MovingAverage
    )
    slots: int = 0
    recharges: list[tuple[int, grant_table.GrantKey]] = dataclasses.field(
        default_factory=list
    )
    pending_copies: dict[int, PendingCopy] = dataclasses.field(default_factory=dict)
    copy_nonces: dict[ids.RequestId, int] = dataclasses.field(
        default_factory=dict
    )
    deferred: dict[ids.RequestId, fair_queue.WaitingRequest] = dataclasses.field(
        default_factory=dict
    )
    failed_once: dict[ids.RequestId, int] = dataclasses.field(
        default_factory=dict
    )
    entries_to_ask_again: set[ids.ProcessId] = dataclasses.field(default_factory=set)
    last_nonce: int = 0
    incomplete_announced: bool = False
    backends: backend_table.BackendTable = dataclasses.field(
        default_factory=backend_table.BackendTable
    )
    queue: fair_queue.Queue = dataclasses.field(
        default_factory=fair_queue.Queue
    )
    grants: grant_table.GrantTable = dataclasses.field(
        default_factory=grant_table.GrantTable
    )
    limits: team_limits.LimitTable = dataclasses.field(
        default_factory=team_limits.LimitTable
    )
    records: idempotency.RecordTable = dataclasses.field(
        default_factory=idempotency.RecordTable
    )
    budgets: retry_budgets.RetryBudgets = dataclasses.field(
        default_factory=retry_budgets.RetryBudgets
    )


def may_grant(state: ServiceState, now_ms: int) -> bool:
    """Tells whether the holder may grant at all.

    Args:
        state: The service's state.
        now_ms: Current time in ms, read immediately before the grant.

    Returns:
        Whether recovery is far enough, and the lease holds and was not given
        up.
    """
    return state.ready and not state.released and now_ms < state.lease_until_ms


def get_shortest_use(state: ServiceState, team: ids.TeamName) -> float:
    """Estimates how long a team's next request uses a slot at least.

    Args:
        state: The service's state.
        team: The team.

    Returns:
        The shortest recent time; 0 while too little is known.
    """
    average = state.use_by_team.get(team)
    if average is None or average.samples < MIN_SAMPLES:
        return 0.0
    return average.shortest_ms


def get_expected_use(state: ServiceState, team: ids.TeamName) -> float:
    """Estimates how long a team's next request uses a slot.

    Args:
        state: The service's state.
        team: The team.

    Returns:
        The team's average, or that of all teams.
    """
    average = state.use_by_team.get(team)
    if average is not None and average.samples:
        return average.value_ms
    return state.overall_use.value_ms
