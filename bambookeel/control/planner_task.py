"""Plans the fleet on the leader, commits the plans and sends the orders.

Only the leader plans, within its lease. It polls the platform, makes a plan
from the committed state, commits the changes of each pool in one command that
fails if the pool's version has changed, sends the orders that follow from the
state, and renews the leases of workers. It holds no data that a new leader
would need.
"""

import gevent
import gevent.event
from returns import result

from bambookeel.control import events
from bambookeel.control import fleet_commands
from bambookeel.control import fleet_view
from bambookeel.control import job_allotments
from bambookeel.control import replica_task
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings as core_settings
from bambookeel.fleet import changes
from bambookeel.fleet import jobs
from bambookeel.fleet import planner
from bambookeel.fleet import records
from bambookeel.net import platform_client
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers
from bambookeel.state import commands

_TICK_MS = 500
# Time from a plan with changes to the next plan.
_BUSY_TICK_MS = 150
# Time limit for a plan's commands, after which the next plan is made.
_COMMIT_TIMEOUT_S = 5.0
# Longest assumed delay until a renewal that timed out reaches a worker.
_LEASE_MARGIN_MS = 2_000
# Interval between plans while nothing changes, as deadlines may pass.
_IDLE_INTERVAL_MS = 5_000


class PlannerTask:
    """Owns the connection to the platform and the reports from it."""

    def __init__(
        self,
        settings: core_settings.ControlSettings,
        replica: replica_task.ReplicaTask,
        allotment_mailbox: mailbox.Mailbox,
        client: platform_client.PlatformClient | None = None,
    ) -> None:
        self.mailbox = mailbox.Mailbox("planner")
        self._allotment_mailbox = allotment_mailbox
        self._allotments = job_allotments.JobAllotments()
        self._replica = replica
        self._process_id = settings.process_id
        self._client = client or platform_client.PlatformClient(
            settings.platform_address
        )
        self._builder = fleet_view.ViewBuilder()
        self._timers: timers.TimerService | None = None
        self._plan_count = 0
        # State version and inputs hash of the last plan if it was empty, and
        # the time of the last plan.
        self._idle_inputs: tuple[ids.StateVersion, int] | None = None
        self._last_plan_ms = 0
        self._next_plan_in_ms = _TICK_MS
        self._started_ms = clock.read_wall_ms()

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Schedules the first plan; each plan schedules the next one.

        Args:
            service: Timer service of the process.
        """
        self._timers = service
        service.schedule(self.mailbox, _TICK_MS, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            match self.mailbox.get():
                case events.Tick():
                    try:
                        self._plan_once()
                    finally:
                        self._schedule_next()
                case events.FromPeer(_, messages.AllotmentReply() as reply):
                    self._allotments.handle_reply(reply)
                case events.LeadershipChanged():
                    self._allotments.drop_all()
                    # Reports and leases from an earlier term are not valid now.
                    self._builder.discard_reports()
                    self._idle_inputs = None

    def _schedule_next(self) -> None:
        if self._timers is not None:
            self._timers.schedule(
                self.mailbox, self._next_plan_in_ms, events.Tick()
            )
            self._next_plan_in_ms = _TICK_MS

    def _plan_once(self) -> None:
        sent_ms = clock.read_now_ms()
        if not self._replica.view.leads(sent_ms):
            return
        self._request_allotments()
        match self._client.fetch_reports(sent_ms):
            case result.Success(reports):
                self._builder.add_reports(reports, sent_ms)
            case result.Failure(fault):
                # Without reports the state of the instances is unknown.
                logs.log_event(
                    "platform_silent", place=fault.place, error=fault.message
                )
                return
        now_ms = clock.read_now_ms()
        current = self._replica.view
        if not current.leads(now_ms):
            return
        limits = self._allotments.get_limits(current.term)
        view = self._builder.build_view(
            current.state.by_key, now_ms, clock.read_wall_ms(), limits
        )
        inputs_hash = fleet_view.hash_inputs(view)
        inputs = (current.state.version, inputs_hash)
        if inputs == self._idle_inputs:
            if now_ms - self._last_plan_ms < _IDLE_INTERVAL_MS:
                self._renew_leases(view)
                return
        plan = planner.plan_fleet(view)
        is_empty = plan == changes.Plan()
        self._idle_inputs = inputs if is_empty else None
        self._last_plan_ms = now_ms
        self._next_plan_in_ms = _TICK_MS if is_empty else _BUSY_TICK_MS
        took_ms = clock.read_now_ms() - now_ms
        self._commit(view, plan, current.term)
        self._send_orders(plan)
        self._renew_leases(view)
        if plan.instances or plan.adoptions:
            logs.log_event(
                "fleet_planned",
                changes=len(plan.instances),
                adoptions=len(plan.adoptions),
                orders=len(plan.orders),
                took_ms=took_ms,
            )

    def _request_allotments(self) -> None:
        """Reports tasks to the allotment task and requests allotments."""
        all_jobs = [
            jobs.read_job(resource)
            for (kind, _), resource in self._replica.view.state.by_key.items()
            if kind is resources.Kind.JOB
        ]
        request = self._allotments.build_request(all_jobs)
        own_id = ids.ProcessId(self._process_id)
        self._allotment_mailbox.put(events.FromPeer(own_id, request))

    def _commit(
        self, view: records.FleetView, plan: changes.Plan, term: ids.Term
    ) -> None:
        """Commits a plan and waits for the outcomes.

        Args:
            view: The view that the plan was made from.
            plan: Plan to commit.
            term: Term in which the plan was made.
        """
        self._plan_count += 1
        prefix = (
            f"plan-{self._process_id}-{self._started_ms}-{term}"
            f"-{self._plan_count}"
        )
        replies: list[gevent.event.AsyncResult] = []
        for command in fleet_commands.build_commands(view, plan, prefix):
            reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
            if not self._replica.mailbox.put(
                events.LocalCommand(command, reply)
            ):
                continue
            replies.append(reply)
        # If a command is still pending when the next plan is made, the versions
        # that it expects keep it from being applied to a changed state.
        gevent.wait(replies, timeout=_COMMIT_TIMEOUT_S)
        unapplied = 0
        for reply in replies:
            outcome = reply.value if reply.ready() else None
            match outcome:
                case commands.CommandOutcome(commands.OutcomeCode.APPLIED):
                    continue
                case _:
                    unapplied += 1
        if unapplied:
            logs.log_event("plan_refused_in_part", commands=unapplied)
        for decision in plan.decisions:
            logs.log_event(
                "fleet_decision",
                subject=decision.subject,
                action=decision.action,
                reason=decision.reason,
                alternatives=decision.alternatives,
                **decision.numbers,
            )

    def _send_orders(self, plan: changes.Plan) -> None:
        """Sends orders if this replica still leads within its lease."""
        if not plan.orders or not self._replica.view.leads(clock.read_now_ms()):
            return
        match self._client.send_orders(plan.orders):
            case result.Failure(fault):
                logs.log_event(
                    "orders_unanswered",
                    orders=len(plan.orders),
                    error=fault.message,
                )

    def _renew_leases(self, view: records.FleetView) -> None:
        """Renews the leases of workers with a fresh report."""
        names = [
            name
            for name, instance in view.instances.items()
            if instance.state is not resources.InstanceState.FAILED
            and records.find_fresh_report(view, instance) is not None
        ]
        lease_ms = view.tuning.worker_lease_ms
        self._client.renew_leases(names, lease_ms)
        until_ms = clock.read_now_ms() + lease_ms + _LEASE_MARGIN_MS
        self._builder.extend_leases(names, until_ms)
