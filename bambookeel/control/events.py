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
    """A timer's message."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromPeer:
    """A message from a process, which may be the own one."""

    peer: ids.ProcessId
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDown:
    """The link to a process has ended."""

    peer: ids.ProcessId


@dataclasses.dataclass(frozen=True, slots=True)
class LocalCommand:
    """A command from the own API; the outcome goes to `reply`.

    The reply is a `commands.CommandOutcome`, or a `NotCommitted`.
    """

    command: commands.Command
    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class LocalRead:
    """Asks for the state with every acknowledged change; to `reply`.

    The reply is a `model.State`, or a `NotCommitted`.
    """

    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class NotCommitted:
    """A command or read that got no answer from a leader.

    Attributes:
        may_take_effect: Whether the command may still be committed.
        detail: One sentence.
    """

    may_take_effect: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """One committed log entry has been applied, or a snapshot installed.

    Attributes:
        state: The state after it.
        changed: What it changed.
        replaces: Whether the state was replaced by a snapshot's: changes in
            between are unknown, and `changed` is only what differs.
    """

    state: model.State
    changed: tuple[model.StoredResource, ...]
    replaces: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StopReplica:
    """The process stops: leadership is to be handed over."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipChanged:
    """This replica became leader, or ceased to be.

    Attributes:
        term: The term.
        is_leader: Whether this replica leads it.
    """

    term: ids.Term
    is_leader: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """An operator watches changes after a version.

    Attributes:
        from_version: The version that the operator has.
        watcher: Gets a `messages.StateChange` for each change, in order.
        reply: Gets whether all changes after that version are still kept.
    """

    from_version: ids.StateVersion
    watcher: mailbox.Mailbox
    reply: gevent.event.AsyncResult


@dataclasses.dataclass(frozen=True, slots=True)
class Unwatch:
    """An operator stopped watching."""

    watcher: mailbox.Mailbox
