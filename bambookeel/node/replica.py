"""The replica of a node with a disk: votes, applies entries, and may lead.

One task owns the consensus core, the book and, while it leads, the scheduler.
Waiting calls are handled together, and their commands become one log entry.
Their answers are sent once the entry is committed. If there are no commands,
they are sent once the leader holds its lease, which proves that no other leader
has decided anything meanwhile.
"""

import functools

from returns import result

from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import events as core_events
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.control import core_runner
from bambookeel.control import events
from bambookeel.control import joining
from bambookeel.control import margin_watch
from bambookeel.control import replica_disk
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.jobs import calls
from bambookeel.jobs import scheduler as job_scheduler
from bambookeel.node import advisor_task
from bambookeel.node import book_machine
from bambookeel.node import call_turn
from bambookeel.node import outside
from bambookeel.node import provider_task
from bambookeel.node import settings as node_settings
from bambookeel.node import turn_watch
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import metrics
from bambookeel.runtime import timers
from bambookeel.storage import store as replica_store

_TICK_MS = 25
# Maximum number of calls handled together; others wait for the next entry, so
# that a long turn does not make the next one longer.
_MAX_CALLS_PER_BATCH = 200
# The scheduler's timers run at least this often while further calls wait.
_MAX_TICK_DELAY_MS = 500
# Maximum wait of an answer for the leader's lease.
_MAX_CONFIRM_WAIT_MS = 900


class Replica:
    """Owns the log, the book and the scheduler of one node."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        store: replica_store.ReplicaStore,
        loaded: replica_store.LoadedReplica,
        send: core_runner.SendMessage,
        seed: int,
    ) -> None:
        self.mailbox = mailbox.Mailbox("replica")
        self.disk = replica_disk.ReplicaDisk(store, self.mailbox)
        self._settings = settings
        self._machine = book_machine.BookStateMachine(loaded.snapshot)
        self._runner = core_runner.CoreRunner(
            settings.consensus, loaded, self.disk, seed, self._machine
        )
        self._runner.send = send
        self._machine.get_log = lambda: self._runner.core.log
        self._joining = joining.Joining(
            self._runner,
            loaded.member,
            settings.seeds,
            settings.is_first_start,
        )
        self.margin = margin_watch.MarginWatch(self._runner)
        self._scheduler: job_scheduler.Scheduler | None = None
        self._calls: list[call_turn.WaitingCall] = []
        self._plan_due = False
        self._ticked_ms = 0
        self._turns = turn_watch.TurnWatch()
        self.external_services = outside.ExternalServices(
            self.mailbox, self._leads
        )
        # Index of the proposed entry, and the answers that wait for its commit.
        self._in_flight: tuple[int, list[call_turn.PendingAnswer]] | None = None
        # Answers that wait only for the lease.
        self._unconfirmed: list[call_turn.PendingAnswer] = []
        self._stop_requested = False

    def run(self) -> None:
        """Handles messages until the task is killed.

        When the supervisor restarts the task after a failure, decisions of the
        failed turn that are not in the log are dropped.
        """
        self._machine.rebuild()
        self._calls = []
        self._stop_leading()
        while True:
            self._handle(self.mailbox.get())
            while (
                self.mailbox.get_depth()
                and len(self._calls) < _MAX_CALLS_PER_BATCH
            ):
                self._handle(self.mailbox.get())
            self._finish_turn()

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Requests regular ticks for this task.

        Args:
            service: Timer service that sends them.
        """
        service.subscribe(self.mailbox, _TICK_MS, events.Tick())

    def set_contacts(self, contacts: tuple[ids.ProcessId, ...]) -> None:
        """Sets the processes that can admit a new disk to the membership.

        Args:
            contacts: Process ids of the leader and the voters, if known.
        """
        self._joining.contacts = contacts

    def _handle(self, event: object) -> None:
        match event:
            case core_events.LogSynced():
                self._runner.run_step(event)
            case events.Tick():
                self._tick()
            case events.FromPeer(peer, message):
                self._handle_message(peer, message)
            case (
                provider_task.OrderResult()
                | provider_task.InstanceListResult()
                | advisor_task.AdviceResult()
            ):
                self.external_services.add_result(event)
                self._plan_due = True
            case events.StopReplica():
                self._stop_requested = True
                self._runner.run_step(core_events.StopRequested())

    def _handle_message(
        self, peer: ids.ProcessId, message: messages.Message
    ) -> None:
        match message:
            case messages.LeaderCall(number, payload):
                self._add_call(peer, number, payload)
            case messages.LeaderQuestion(nonce):
                self._runner.send(peer, self._describe_leader(nonce))
            case messages.ReplicaIdentity():
                self._joining.handle_identity(peer, message)
            case messages.ReplicaRetired(member):
                self._joining.end_if_retired(member)
            case _:
                if isinstance(message, messages.AppendReply):
                    self._joining.notify_if_retired(message)
                self._runner.run_step(core_events.MessageReceived(message))

    def _add_call(
        self, peer: ids.ProcessId, number: int, payload: bytes
    ) -> None:
        reply = functools.partial(self._reply, peer, number)
        match calls.decode_call(payload):
            case result.Success(call):
                self._calls.append((call, reply))
            case result.Failure(error):
                logs.log_event("call_malformed", peer=peer, error=error)
                reply(calls.BadRequest("the call cannot be decoded"))

    def _reply(
        self, peer: ids.ProcessId, number: int, answer: calls.Answer
    ) -> None:
        payload = calls.encode_answer(answer)
        self._runner.send(peer, messages.LeaderAnswer(number, payload))

    def _describe_leader(self, nonce: int) -> messages.LeaderKnown:
        core = self._runner.core
        voters = tuple(
            membership.get_process(member) for member in core.membership.voters
        )
        return messages.LeaderKnown(
            nonce,
            membership.get_process(core.leader),
            core.term,
            self._holds_lease(),
            voters,
            (self._machine.book.configuration.document.limits,),
        )

    def _holds_lease(self) -> bool:
        core = self._runner.core
        return clock.read_now_ms() < replication.compute_lease_until(core)

    def _leads(self, term: int) -> bool:
        return self._runner.core.term == term and self._holds_lease()

    # --- Membership ---

    def _tick(self) -> None:
        self._runner.run_step(core_events.TimerDue())
        self._plan_due = True
        if self._stop_requested:
            self._runner.run_step(core_events.StopRequested())
        now_ms = clock.read_now_ms()
        self._joining.try_to_join(now_ms)
        self.margin.check(now_ms)

    # --- Leading ---

    def _read_now(self) -> job_scheduler.Now:
        return job_scheduler.Now(clock.read_now_ms(), clock.read_wall_ms())

    def _finish_turn(self) -> None:
        self._process_outputs()
        core = self._runner.core
        is_leading = core.role is records.Role.LEADER
        is_leading &= core.commit_index >= core.term_start_index
        if not is_leading or core.hand_over_to:
            self._refuse_calls()
            return
        if self._scheduler is None:
            self._scheduler = job_scheduler.Scheduler(
                self._machine.book,
                self._settings.scheduling,
                core.term,
                self._read_now(),
            )
            logs.log_event("scheduling", term=core.term)
        if self._in_flight is None:
            self._run_scheduler(self._scheduler)
        self._answer_confirmed()

    def _process_outputs(self) -> None:
        outputs = self._runner.outputs
        self._runner.outputs = []
        for output in outputs:
            match output:
                case core_runner.Applied(index):
                    self._note_applied(index)
                case core_effects.RoleChanged(_, False):
                    self._stop_leading()

    def _note_applied(self, index: int) -> None:
        if self._in_flight is None or self._in_flight[0] != index:
            return
        waiting = self._in_flight[1]
        self._in_flight = None
        for pending in waiting:
            call_turn.send_answer(pending)

    def _stop_leading(self) -> None:
        self._machine.drop_uncommitted()
        self._scheduler = None
        self._turns.hide_evacuations()
        waiting = self._unconfirmed
        self._unconfirmed = []
        if self._in_flight is not None:
            waiting = waiting + self._in_flight[1]
            self._in_flight = None
        for _, reply, _ in waiting:
            reply(calls.NotLeading("", True))

    def _refuse_calls(self) -> None:
        refused = self._calls
        self._calls = []
        leader = self._runner.get_leader()
        for _, reply in refused:
            reply(calls.NotLeading(leader, False))

    def _run_scheduler(self, scheduler: job_scheduler.Scheduler) -> None:
        """Handles waiting calls and results, and proposes the decisions.

        Args:
            scheduler: Scheduler of the current term.
        """
        if not self._calls and not self._plan_due:
            return
        now = self._read_now()
        accepted_calls, self._calls = call_turn.split_calls(
            self._calls, _MAX_CALLS_PER_BATCH
        )
        term = int(self._runner.core.term)
        self.external_services.pass_results(scheduler, term, now)
        turn = call_turn.handle_calls(scheduler, accepted_calls, now)
        if turn.is_broken:
            self._repeat_turn(turn)
            return
        self._tick_scheduler(scheduler, now)
        waiting = turn.waiting
        planned_from_ms = clock.read_now_ms()
        scheduler.plan(now)
        ended_ms = clock.read_now_ms()
        self._plan_due = False
        self._turns.observe(
            scheduler,
            len(accepted_calls),
            now.steady_ms,
            planned_from_ms,
            ended_ms,
        )
        self._turns.log_if_due(term, ended_ms)
        for send in self.external_services.send_requests(scheduler, term, now):
            waiting.append((calls.Done, send, now.steady_ms))
        for event, fields in scheduler.take_log_events():
            logs.log_event(event, term=term, **fields)
            metrics.count_decision(event)
        metrics.count_place_waits(scheduler.take_ended_waits())
        batch = scheduler.take_batch()
        if not batch:
            self._unconfirmed.extend(waiting)
            return
        # Earlier answers that still wait for the lease are computed when they
        # are sent and would show the uncommitted batch, so they wait for its
        # commit.
        waiting = self._unconfirmed + waiting
        self._unconfirmed = []
        index = self._runner.core.log.last_index + 1
        payload = call_turn.encode_batch(batch, turn)
        if payload is None:
            self._repeat_turn(turn)
            return
        self._machine.mark_uncommitted(index, self._runner.core.term)
        self._in_flight = (index, waiting)
        refusal = self._runner.run_step(core_events.ProposalsMade((payload,)))
        if refusal:
            self._drop_batch(refusal)
        self._process_outputs()

    def _tick_scheduler(
        self, scheduler: job_scheduler.Scheduler, now: job_scheduler.Now
    ) -> None:
        """Lets the scheduler judge by time, after the reports that wait.

        Workers whose reports are still to be handled are not silent.

        Args:
            scheduler: Scheduler of the current term.
            now: Current time.
        """
        is_late = now.steady_ms - self._ticked_ms >= _MAX_TICK_DELAY_MS
        if self._plan_due and (is_late or not self._calls):
            self._ticked_ms = now.steady_ms
            scheduler.tick(now)

    def _repeat_turn(self, turn: call_turn.Turn) -> None:
        """Drops the decisions of a turn, and handles its other calls again.

        Args:
            turn: Turn in which a call has failed.
        """
        self._machine.rebuild()
        self._stop_leading()
        self._calls = turn.list_handled() + self._calls
        self._plan_due = True

    def _drop_batch(self, refusal: str) -> None:
        """Drops a batch that was not appended, and hands over leadership.

        Args:
            refusal: Why it was not appended, such as a full disk.
        """
        logs.log_event("batch_refused", reason=refusal)
        dropped = self._in_flight
        self._in_flight = None
        self._machine.drop_uncommitted()
        self._scheduler = None
        for _, reply, _ in dropped[1] if dropped else ():
            reply(calls.NotLeading("", False))
        self._runner.run_step(core_events.HandOverRequested())

    def _answer_confirmed(self) -> None:
        if not self._unconfirmed:
            return
        if self._holds_lease():
            waiting = self._unconfirmed
            self._unconfirmed = []
            for pending in waiting:
                call_turn.send_answer(pending)
            return
        now_ms = clock.read_now_ms()
        kept = []
        for each in self._unconfirmed:
            if now_ms - each[2] < _MAX_CONFIRM_WAIT_MS:
                kept.append(each)
                continue
            each[1](calls.NotLeading("", False))
        self._unconfirmed = kept
