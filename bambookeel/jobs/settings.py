"""Bounds of a deployment, and the scheduler's settings derived from them."""

import dataclasses
import math

# Interval at which workers report; a leader receives the reports of all of
# them.
_REPORT_MS = 200
# A worker that has missed several reports in a row gets no new runs.
_ASSIGN_MAX_SILENCE_MS = 1_200
# Lease of a run; outlasts an election with one split vote.
_LEASE_MS = 4_000
# Added to the holder's lease, for an order that is in flight when it ends.
_HOLDER_MARGIN_MS = 300
# Maximum difference between the wall clocks of two nodes, one of which has
# jumped.
_CLOCK_DIFFERENCE_MS = 5_000
# Maximum time from the commit of an order until it reaches the provider.
_ORDER_DELIVERY_MS = 1_000
# Silence after which a worker's tasks count as unavailable, unless the
# deployment's bound is tighter; several missed reports.
_AVAILABLE_MAX_SILENCE_MS = 1_500
# Time from a tail latency over its target until a lower pace shows in the
# latency: one report each way, the half second over which the tail is measured,
# and a margin.
_PACE_REACTION_MS = 1_000
# A run without progress for this long is stalled; normal runs gain several
# percent between two reports.
_STALL_MS = 900
# A run without any progress yet may be delayed by more than its checkpoint.
_STALL_AT_START_MS = 1_800
# Time from the end of a restore to the first report that shows progress.
_RESTORED_MS = 300
# Duration of one round of a wave besides the upkeep itself: the order, the list
# or report that shows the instance again, and a margin.
_ROUND_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the deployment guarantees or tolerates.

    Times are in milliseconds. Values may have fractions.

    Attributes:
        longest_lease_ms: Longest lease that workers honour.
        keep_ended_ms: How long the state of ended jobs must be available.
        holder_lease_ms: Shortest time between the orders of two lease holders
            for the same instance.
        unavailable_ms: How long a standing task is unavailable before planned
            interruptions must count it as such.
        over_target_ms: How long filler tasks may keep the tail latency of a
            serving task over its target.
        restore_ms: How long a run takes to resume from its checkpoint.
        upkeep_ms: How long an instance is down for its upkeep.
        remote_factor: How many times as long a task takes in another rack than
            its data, or in a group that is on several racks.
        data_centres: Names of the data centres; empty if they are unknown.
    """

    longest_lease_ms: float
    keep_ended_ms: float
    holder_lease_ms: float
    unavailable_ms: float
    over_target_ms: float
    restore_ms: float
    upkeep_ms: float
    remote_factor: float = 1.0
    data_centres: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Limits of the scheduler, and known data centres; times are in ms.

    Attributes:
        lease_ms: How long runs may continue without a report.
        max_lease_ms: Longest lease that any leader may have granted.
        report_ms: Interval between the reports of a worker.
        keep_ended_ms: How long the records of ended jobs are kept.
        assign_max_silence_ms: Time without a report after which a worker gets
            no new runs.
        earlier_orders_ms: How long orders of an earlier leader may still reach
            the provider.
        order_settled_ms: Age from which a recorded order is known to have been
            carried out long enough ago for another holder to order the same
            instance, whichever node's clock recorded it.
        available_max_silence_ms: Time without a report after which the
            standing tasks of a worker count as unavailable.
        stop_fillers_after_ms: How long the tail latency of a serving task may
            be over its target before the filler tasks on its worker are
            stopped.
        stall_ms: Time without progress after which a run is stalled.
        stall_at_start_ms: The same for a run that has made no progress yet.
        wave_round_ms: Duration of one round of a wave. A wave with less time
            for each remaining round takes instances down without waiting for
            their tasks to end.
        remote_factor: How many times as long a task takes in another rack than
            its data, or in a group that is on several racks; 1 if racks do not
            matter.
        data_centres: Names of the data centres that may be evacuated; empty if
            any may.
    """

    lease_ms: int
    max_lease_ms: int
    report_ms: int
    keep_ended_ms: int
    assign_max_silence_ms: int
    earlier_orders_ms: int
    order_settled_ms: int
    available_max_silence_ms: int
    stop_fillers_after_ms: int
    stall_ms: int
    stall_at_start_ms: int
    wave_round_ms: int
    remote_factor: float = 1.0
    data_centres: frozenset[str] = frozenset()

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "SchedulerSettings":
        """Derives the settings from a deployment's bounds.

        Args:
            bounds: Bounds of the deployment.

        Returns:
            Settings with which the scheduler keeps the bounds.
        """
        lease_ms = min(_LEASE_MS, math.floor(bounds.longest_lease_ms))
        holder_ms = math.ceil(bounds.holder_lease_ms)
        # An order that is decided on now may reach the provider only after the
        # delivery time.
        max_silence_ms = (
            math.floor(bounds.unavailable_ms) - _ORDER_DELIVERY_MS - _REPORT_MS
        )
        restored_ms = math.ceil(bounds.restore_ms) + _RESTORED_MS
        return cls(
            lease_ms=lease_ms,
            max_lease_ms=lease_ms,
            report_ms=_REPORT_MS,
            keep_ended_ms=math.ceil(bounds.keep_ended_ms)
            + _CLOCK_DIFFERENCE_MS,
            assign_max_silence_ms=_ASSIGN_MAX_SILENCE_MS,
            earlier_orders_ms=holder_ms + _HOLDER_MARGIN_MS,
            order_settled_ms=holder_ms
            + _CLOCK_DIFFERENCE_MS
            + _ORDER_DELIVERY_MS,
            available_max_silence_ms=min(
                _AVAILABLE_MAX_SILENCE_MS, max(max_silence_ms, 2 * _REPORT_MS)
            ),
            stop_fillers_after_ms=max(
                0, math.floor(bounds.over_target_ms) - _PACE_REACTION_MS
            ),
            # During a restore the run may report the percentage of its
            # checkpoint, which does not change.
            stall_ms=max(_STALL_MS, restored_ms),
            # On a slow worker the restore takes longer, too.
            stall_at_start_ms=max(_STALL_AT_START_MS, 2 * restored_ms),
            wave_round_ms=math.ceil(bounds.upkeep_ms) + _ROUND_MS,
            remote_factor=max(1.0, bounds.remote_factor),
            data_centres=bounds.data_centres,
        )
