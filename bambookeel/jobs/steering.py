"""Carries out the goals of instances: drain, order, wait for the return.

Turns the decisions of `upkeep` and `pools` into orders to the provider. An
order whose loss would matter is recorded in the job book before it is sent.
"""

from bambookeel.jobs import availability
from bambookeel.jobs import book as job_book
from bambookeel.jobs import commands
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs
from bambookeel.jobs import stale_reports
from bambookeel.jobs import upkeep
from bambookeel.jobs import workers as worker_table

# Interval between requests for the provider's list while a goal or a wave
# depends on it, and otherwise.
_ACTIVE_LIST_INTERVAL_MS = 1_000
_IDLE_LIST_INTERVAL_MS = 8_000
# Minimum interval between requests that are to confirm reports of a return.
_CONFIRM_LIST_INTERVAL_MS = 200
# Pause before the next order for an instance after an order that was refused or
# got no answer.
_RETRY_MS = 600
# The same after two orders in a row without an answer.
_UNANSWERED_RETRY_MS = 5_000


class InstanceController:
    """Goals of instances in a leader's term, and the orders to reach them."""

    def __init__(
        self, settings: job_settings.SchedulerSettings, now_ms: int
    ) -> None:
        """Starts without goals.

        Args:
            settings: Time limits of the scheduler.
            now_ms: Start of the term, on the steady clock in milliseconds.
        """
        self.fleet = fleet_view.Fleet()
        self._settings = settings
        # Orders of an earlier leader may arrive at the provider until then.
        self._earlier_orders_until_ms = now_ms + settings.earlier_orders_ms
        # When this leader first saw each wave. A list that was requested before
        # does not show whether the instances of the wave still exist.
        self._waves_seen_ms: dict[int, int] = {}

    def begin_list_if_due(self, book: job_book.Book, now_ms: int) -> bool:
        """Returns whether to request the provider's list now.

        Args:
            book: The job book.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            True if the list is due; it is then marked as requested.
        """
        fleet = self.fleet
        if fleet.is_listing:
            return False
        is_needed = any(
            goal.phase is fleet_view.GoalPhase.AWAY
            for goal in fleet.goals.values()
        )
        is_needed |= any(
            not wave.is_complete for wave in book.instances.waves.values()
        )
        interval_ms = (
            _ACTIVE_LIST_INTERVAL_MS if is_needed else _IDLE_LIST_INTERVAL_MS
        )
        if fleet.return_reported_ms > fleet.requested_ms:
            interval_ms = _CONFIRM_LIST_INTERVAL_MS
        if now_ms - fleet.requested_ms < interval_ms:
            return False
        fleet.requested_ms = now_ms
        fleet.is_listing = True
        return True

    def _is_last_order_old(
        self, book: job_book.Book, name: str, wall_ms: int
    ) -> bool:
        """Returns whether the last order for an instance was long enough ago.

        The orders of two leaders for one instance need a minimum interval. The
        clocks of the two nodes may differ.

        Args:
            book: The job book.
            name: Name of the instance.
            wall_ms: Unix time in milliseconds.

        Returns:
            True if the recorded order is old enough, or if there is none.
        """
        ordered_wall_ms = book.instances.ordered_wall_ms.get(name)
        if ordered_wall_ms is None:
            return True
        return wall_ms - ordered_wall_ms >= self._settings.order_settled_ms

    def set_goal(self, order: instances.Order, now_ms: int) -> None:
        """Sets a goal for an instance that has none.

        Args:
            order: Move or upkeep that the instance is to go through.
            now_ms: Steady-clock time in milliseconds.
        """
        status = self.fleet.statuses[order.instance]
        self.fleet.goals[order.instance] = fleet_view.Goal(
            order, now_ms, status.pool
        )

    def is_usable(self, instance: str) -> bool:
        """Returns whether an instance may get new work.

        Args:
            instance: Name of the instance.

        Returns:
            False while a goal is set for the instance.
        """
        return instance not in self.fleet.goals

    def resume_upkeeps(self, book: job_book.Book, now_ms: int) -> None:
        """Sets goals for the upkeeps that an earlier leader has ordered.

        Args:
            book: The job book.
            now_ms: Steady-clock time in milliseconds.
        """
        for number, wave in book.instances.waves.items():
            for name in wave.ordered:
                if name in self.fleet.goals or name not in self.fleet.statuses:
                    continue
                self.set_goal(instances.Upkeep(name, number), now_ms)
                self.fleet.goals[name].has_earlier_order = True

    def end_unlisted_upkeeps(
        self, book: job_book.Book, now_ms: int
    ) -> list[commands.Command]:
        """Ends the upkeep of instances that the provider no longer lists.

        Args:
            book: The job book.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Commands to be applied to the job book.
        """
        ended: list[commands.Command] = []
        for number, wave in book.instances.waves.items():
            seen_ms = self._waves_seen_ms.setdefault(number, now_ms)
            if self.fleet.listed_ms <= seen_ms:
                continue
            for name in (*wave.waiting, *wave.ordered):
                if name not in self.fleet.statuses:
                    ended.append(commands.UpkeepEnded(number, name))
        return ended

    def choose_orders(
        self,
        book: job_book.Book,
        table: worker_table.WorkerTable,
        now_ms: int,
        wall_ms: int,
        withdrawn: availability.Withdrawn,
    ) -> list[instances.Order]:
        """Chooses the orders to send to the provider now.

        Args:
            book: The job book.
            table: Workers that this leader knows.
            now_ms: Steady-clock time in milliseconds.
            wall_ms: Unix time in milliseconds.
            withdrawn: Runs that their workers must stop.

        Returns:
            The orders; their goals are then in the phase `ORDERED`.
        """
        orders = []
        for name, goal in self.fleet.goals.items():
            if goal.phase is not fleet_view.GoalPhase.DRAINING:
                continue
            status = self.fleet.statuses.get(name)
            if status is not None and now_ms < status.retry_at_ms:
                continue
            may_overlap = now_ms < self._earlier_orders_until_ms
            if may_overlap and not self._is_last_order_old(book, name, wall_ms):
                continue
            worker = table.find_by_instance(name)
            if worker is not None and worker.is_settling:
                continue
            is_spare = goal.from_pool == book.configuration.find_spare_pool()
            if worker is None and not is_spare and may_overlap:
                # This leader does not know yet what runs on the instance.
                continue
            if worker is not None and not self._may_order(
                book, table, worker, goal, now_ms, wall_ms, withdrawn
            ):
                continue
            goal.phase = fleet_view.GoalPhase.ORDERED
            goal.since_ms = now_ms
            goal.incarnation = (
                worker.incarnation if worker is not None else None
            )
            if not goal.has_earlier_order:
                goal.first_incarnation = goal.incarnation
            orders.append(goal.order)
        return orders

    def list_under_order(
        self,
        book: job_book.Book,
        table: worker_table.WorkerTable,
        now_ms: int,
        wall_ms: int,
    ) -> frozenset[specs.WorkerIncarnation]:
        """Lists workers that an order may have interrupted.

        Args:
            book: The job book.
            table: Workers that this leader knows.
            now_ms: Steady-clock time in milliseconds.
            wall_ms: Unix time in milliseconds.

        Returns:
            Workers of orders that are in flight or may have been carried out.
        """
        under_order = frozenset(
            other.incarnation
            for other in self.fleet.goals.values()
            if other.incarnation is not None
            and (
                other.has_earlier_order
                or other.phase is not fleet_view.GoalPhase.DRAINING
            )
            and not fleet_view.has_outlasted_order(
                other,
                table.by_id.get(other.incarnation.worker),
                self._settings.earlier_orders_ms,
            )
        )
        if now_ms < self._earlier_orders_until_ms:
            # An order of an earlier leader may have interrupted a worker since
            # its last report.
            under_order |= frozenset(
                other.incarnation
                for other in table.by_id.values()
                if not self._is_last_order_old(
                    book, other.report.instance, wall_ms
                )
            )
        return under_order

    def _may_order(
        self,
        book: job_book.Book,
        table: worker_table.WorkerTable,
        worker: worker_table.Worker,
        goal: fleet_view.Goal,
        now_ms: int,
        wall_ms: int,
        withdrawn: availability.Withdrawn,
    ) -> bool:
        incarnation = worker.incarnation
        under_order = self.list_under_order(book, table, now_ms, wall_ms)
        min_report_ms = now_ms - self._settings.available_max_silence_ms
        match goal.order:
            case instances.Upkeep(_, number):
                wave = book.instances.waves[number]
                request = wave.request
                ends_ms = request.at_wall_ms + request.duration_ms
                waiting = len(wave.waiting)
                rounds = -(-waiting // request.max_at_once) or 1
                slack_ms = (ends_ms - wall_ms) // rounds
                slack_ms -= self._settings.wave_round_ms
                draining_ms = now_ms - goal.since_ms
                return upkeep.may_begin(
                    book,
                    table,
                    incarnation,
                    under_order,
                    draining_ms,
                    slack_ms,
                    min_report_ms,
                    withdrawn,
                )
            case instances.Move():
                if book.assigned_runs.get(incarnation):
                    return False
                return availability.may_interrupt(
                    book,
                    table,
                    incarnation,
                    under_order,
                    min_report_ms,
                    withdrawn,
                )
        return False

    def handle_order_outcome(
        self,
        order: instances.Order,
        outcome: instances.OrderOutcome,
        now_ms: int,
    ) -> specs.WorkerIncarnation | None:
        """Handles the result of an order.

        Args:
            order: The order that has ended.
            outcome: Result of the order.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            The worker that the order has certainly ended; None if there is no
            such worker.
        """
        goal = self.fleet.goals.get(order.instance)
        if goal is None or goal.order != order:
            return None
        status = self.fleet.statuses.get(order.instance)
        retry_ms = _RETRY_MS
        match outcome:
            case instances.OrderOutcome.DONE:
                goal.phase = fleet_view.GoalPhase.AWAY
                goal.since_ms = now_ms
                return fleet_view.find_ended_worker(goal)
            case instances.OrderOutcome.IMPOSSIBLE:
                del self.fleet.goals[order.instance]
            case instances.OrderOutcome.UNKNOWN:
                # The order may be in progress; sending it again does no harm.
                is_repeated = goal.has_earlier_order
                goal.has_earlier_order = True
                goal.is_unanswered = is_repeated
                goal.phase = fleet_view.GoalPhase.DRAINING
                if is_repeated and isinstance(order, instances.Move):
                    # The provider may be down for long; until it answers, the
                    # worker is of use where it is.
                    del self.fleet.goals[order.instance]
                    retry_ms = _UNANSWERED_RETRY_MS
            case _:
                goal.phase = fleet_view.GoalPhase.DRAINING
                if isinstance(order, instances.Move):
                    del self.fleet.goals[order.instance]
        if status is not None:
            status.retry_at_ms = now_ms + retry_ms
        return None

    def update_from_report(
        self, worker: worker_table.Worker, now_ms: int
    ) -> bool:
        """Updates an instance from a report, which may show that it is back.

        Args:
            worker: The worker that reports from the instance.
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Whether the goal of the instance has been reached.
        """
        name = worker.report.instance
        goal = self.fleet.goals.get(name)
        status = self.fleet.statuses.get(name)
        if status is not None:
            status.pool = worker.report.service
        if goal is None:
            return False
        if goal.phase is not fleet_view.GoalPhase.AWAY:
            return fleet_view.has_moved_unconfirmed(goal, worker.report.service)
        if worker.incarnation == goal.incarnation:
            return False
        # Any other life may also have ended with the order, and its report may
        # have been sent before.
        match goal.order:
            case instances.Move(_, pool):
                return worker.report.service == pool
        if now_ms - goal.since_ms >= stale_reports.MAX_DELAY_MS:
            return True
        self.fleet.return_reported_ms = now_ms
        return False

    def end_goal(self, name: str) -> list[commands.Command]:
        """Removes a goal that has been reached.

        Args:
            name: Name of the instance.

        Returns:
            Commands to be applied to the job book.
        """
        goal = self.fleet.goals.pop(name)
        match goal.order:
            case instances.Upkeep(_, wave):
                return [commands.UpkeepEnded(wave, name)]
        return []
