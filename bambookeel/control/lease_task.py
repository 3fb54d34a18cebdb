"""Answers entries' heartbeats and assigns dispatch leases.

Every control process answers heartbeats. Only the leader, within its own lease,
renews leases, confirms that the state version in its reply is current and
assigns services to new holders.
"""

import gevent.event

from bambookeel.control import events
from bambookeel.control import lease_keeper
from bambookeel.control import replica_task
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.runtime import clock
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers
from bambookeel.state import commands

_TICK_MS = 100


class LeaseTask:
    """Owns the lease keeper, which is used while this replica leads."""

    def __init__(
        self,
        leases: core_settings.LeaseTimings,
        replica: replica_task.ReplicaTask,
        send: replica_task.SendMessage,
    ) -> None:
        self.mailbox = mailbox.Mailbox("leases")
        self._leases = leases
        self._replica = replica
        self._send = send
        self._keeper = lease_keeper.LeaseKeeper(
            leases.dispatch_ms, leases.dispatch_ms
        )

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Subscribes this task to its periodic timer.

        Args:
            service: Timer service of the process.
        """
        service.subscribe(self.mailbox, _TICK_MS, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        while True:
            self._handle(self.mailbox.get(), clock.read_now_ms())

    def _handle(self, event: object, now_ms: int) -> None:
        match event:
            case events.Tick():
                self._assign_dispatchers(now_ms)
            case events.FromPeer(peer, messages.EntryHeartbeat() as heartbeat):
                self._answer_heartbeat(peer, heartbeat, now_ms)
            case events.LeadershipChanged(_, False):
                lease_keeper.lose_leadership(self._keeper)

    def _assign_dispatchers(self, now_ms: int) -> None:
        current = self._replica.view
        if not current.leads(now_ms):
            return
        lease_keeper.start_term_if_new(self._keeper, current.term, now_ms)
        planned = lease_keeper.plan_assignments(
            self._keeper, current.state, now_ms
        )
        for change in planned:
            epoch = change.spec["epoch"]
            # With the version in the id, a retry after a refusal is a new
            # command.
            command_id = (
                f"dispatch-{current.term}-{change.name}-{epoch}"
                f"-{change.expected_version}"
            )
            command = commands.Command(
                ids.CommandId(command_id),
                "lease-keeper",
                (commands.wrap_change(change),),
            )
            # The reply is not read: the state shows the outcome, and the
            # expected version protects against concurrent changes.
            reply: gevent.event.AsyncResult = gevent.event.AsyncResult()
            self._replica.mailbox.put(events.LocalCommand(command, reply))

    def _answer_heartbeat(
        self,
        peer: ids.ProcessId,
        heartbeat: messages.EntryHeartbeat,
        now_ms: int,
    ) -> None:
        """Answers an entry's heartbeat, and renews its leases as the leader.

        Args:
            peer: Process id of the entry.
            heartbeat: The received heartbeat.
            now_ms: Current time on the monotonic clock.
        """
        current = self._replica.view
        leads = current.leads(now_ms)
        renewed: tuple[messages.HeldLease, ...] = ()
        if leads:
            lease_keeper.start_term_if_new(self._keeper, current.term, now_ms)
            renewed = lease_keeper.handle_heartbeat(
                self._keeper, current.state, peer, heartbeat, now_ms
            )
        reply = messages.EntryHeartbeatReply(
            heartbeat.nonce,
            leads,
            current.leader,
            current.state.version,
            self._leases.dispatch_ms,
            renewed,
        )
        self._send(peer, reply)
