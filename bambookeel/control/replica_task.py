"""One control replica: commits commands and applies them to the state.

Owns the replicated state of this process. Commands come from the own API, from
other control processes and from the leader's other tasks; each is committed
before it is applied, and applied before it is answered. This version has a
fixed leader and no log on disk.
"""

from collections.abc import Callable

from bambookeel.control import events
from bambookeel.control import replica_view
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model

_TICK_MS = 100
_LEADER_LEASE_MS = 1_000
SendMessage = Callable[[ids.ProcessId, messages.Message], bool]


class ReplicaTask:
    """Owns the replicated state; other tasks read `view`."""

    def __init__(
        self, process_id: ids.ProcessId, control: tuple[ids.ProcessId, ...]
    ) -> None:
        self.mailbox = mailbox.Mailbox("replica")
        self._process_id = process_id
        self._leader = min(control)
        self._listeners: list[mailbox.Mailbox] = []
        self._send: SendMessage = lambda peer, message: False
        self.view = self._build_view(model.State())

    def connect(
        self, send: SendMessage, listeners: list[mailbox.Mailbox]
    ) -> None:
        """Gives the task its ways out.

        Args:
            send: Sends a message to a process.
            listeners: Get `Committed` and `LeadershipChanged`.
        """
        self._send = send
        self._listeners = listeners

    def subscribe_timers(self, service: timers.TimerService) -> None:
        """Asks for this task's regular messages.

        Args:
            service: The timer service.
        """
        service.subscribe(self.mailbox, _TICK_MS, events.Tick())

    def run(self) -> None:
        """Handles messages until the task is killed."""
        is_leader = self._process_id == self._leader
        self._tell(events.LeadershipChanged(ids.Term(1), is_leader))
        while True:
            self._handle(self.mailbox.get())

    def _tell(self, event: object) -> None:
        for listener in self._listeners:
            listener.put(event)

    def _build_view(self, state: model.State) -> replica_view.ReplicaView:
        is_leader = self._process_id == self._leader
        until_ms = clock.read_now_ms() + _LEADER_LEASE_MS if is_leader else 0
        return replica_view.ReplicaView(
            state, self._leader, ids.Term(1), is_leader, until_ms
        )

    def _handle(self, event: object) -> None:
        match event:
            case events.Tick():
                self.view = self._build_view(self.view.state)
            case events.LocalCommand(command, reply):
                if self.view.is_leader:
                    reply.set(self._commit(command))
                else:
                    detail = f"the leader is {self._leader}"
                    reply.set(events.NotCommitted(False, detail))
            case events.LocalRead(reply):
                reply.set(self.view.state)

    def _commit(self, command: commands.Command) -> commands.CommandOutcome:
        """Commits and applies one command.

        Args:
            command: The command.

        Returns:
            Its outcome.
        """
        version = ids.StateVersion(self.view.state.version + 1)
        applied = apply.apply_command(self.view.state, version, command)
        self.view = self._build_view(applied.state)
        self._tell(events.Committed(applied.state, applied.changed))
        logs.log_event(
            "command_applied",
            command=command.command_id,
            actor=command.actor,
            version=version,
            outcome=applied.outcome.code.value,
        )
        return applied.outcome
