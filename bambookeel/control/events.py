"""Messages between the tasks of a control process."""

import dataclasses

import gevent.event

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import mailbox
from bambookeel.state import commands
from bambookeel.state import model


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """A periodic timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """A message from another process, or from a task of this process."""

    peer: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The link to a process has ended."""

    peer: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class LocalCommand:
    """A command from this process's API or one of its tasks.

    `reply` is set to a `commands.CommandOutcome` or a `NotCommitted`.
    """

    command: commands.Command
    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class LocalRead:
    """A read of the state with every acknowledged change.

    `reply` is set to a `model.State` or a `NotCommitted`.
    """

    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class NotCommitted:
    """The reply to a command or read that no leader has answered.

    Attributes:
        may_take_effect: Whether the command may still be committed.
        detail: Why there is no answer.
    """

    may_take_effect: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A committed log entry was applied, or a snapshot was installed.

    Attributes:
        state: The new state.
        changed: The changed resources.
        replaces: Whether a snapshot has replaced the state. The changes in
            between are then unknown, and `changed` holds only the differences
            between the old and the new state.
    """

    state: model.State
    changed: tuple[model.StoredResource, ...]
    replaces: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StopReplica:
    """The process is stopping, so the replica hands over leadership."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This replica became the leader or ceased to be the leader.

    Attributes:
        term: The current term.
        is_leader: Whether this replica leads the term.
    """

    term: ids.Term
    is_leader: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """An operator starts to watch the changes after a version.

    Attributes:
        from_version: State version that the operator has.
        watcher: Mailbox that receives a `messages.StateChange` for each
            change, in order.
        reply: Set to whether all changes after `from_version` are still kept;
            if not, the watch does not start.
    """

    from_version: ids.StateVersion
    watcher: mailbox.Mailbox
    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Unwatch:
    """An operator has stopped watching."""

    watcher: mailbox.Mailbox
