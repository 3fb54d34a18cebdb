"""A fake replica task for the tests of the API, which commits at once.

It has the interface of the replica task: a mailbox that takes commands and
reads, and a published view. It can refuse requests, lose an answer after a
commit, and be restarted from its state.
"""

from bambookeel.control import events
from bambookeel.control import replica_view
from bambookeel.core import ids
from bambookeel.state import apply
from bambookeel.state import commands
from bambookeel.state import model


class FakeReplica:
    """Commits commands in memory, without a log."""

    def __init__(self):
        self.mailbox = self
        self.listeners = []
        self.refusal = None
        self.loses_answers = False
        self.view = None
        self.commits = 0
        self._set_state(model.State())

    def _set_state(self, state):
        self.view = replica_view.ReplicaView(
            state, ids.ProcessId("control-0"), ids.Term(3), True, 2**62
        )

    def restart(self):
        """Restarts with the state that a snapshot and the log would restore."""
        state = self.view.state
        self._set_state(
            model.State(state.version, dict(state.by_key), dict(state.outcomes))
        )

    def put(self, message):
        """Handles a message as the replica task would."""
        if self.refusal is not None:
            message.reply.set(self.refusal)
            return True
        match message:
            case events.LocalRead(reply):
                reply.set(self.view.state)
            case events.LocalCommand(command, reply):
                outcome = self._commit(command)
                if self.loses_answers:
                    outcome = events.NotCommitted(True, "the answer was lost")
                reply.set(outcome)
        return True

    def _commit(self, command):
        # The command is encoded and decoded, as in the log of a real replica.
        decoded = commands.decode_command(commands.encode_command(command))
        version = ids.StateVersion(self.view.state.version + 1)
        applied = apply.apply_command(self.view.state, version, decoded)
        self.commits += 1
        self._set_state(applied.state)
        for listener in self.listeners:
            listener.put(events.Committed(applied.state, applied.changed))
        return applied.outcome
