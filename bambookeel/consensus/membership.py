"""Who takes part in the replicated log, and how that changes.

Voters count towards quorums; learners receive entries until they have caught
up. A member is a process with one disk, so that a wiped disk is a new member
that inherits no promise of the old one. Retired members never come back.
"""

import dataclasses

import msgspec

from bambookeel.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The members from one log index on.

    Attributes:
        voters: Members with a vote.
        learners: Members without one.
        retired: Members that were removed for good.
    """

    voters: tuple[ids.MemberId, ...] = ()
    learners: tuple[ids.MemberId, ...] = ()
    retired: tuple[ids.MemberId, ...] = ()

    @property
    def members(self) -> tuple[ids.MemberId, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters decide."""
        return len(self.voters) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class AddLearner:
    """Adds a member without a vote; another disk of its process retires."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Gives a learner its vote."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Removes a member for good."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Demote:
    """Takes the vote of a voter that is lost; it stays a learner."""

    member: ids.MemberId


Change = AddLearner | Promote | Remove | Demote


def build_member_id(process: str, disk: str) -> ids.MemberId:
    """Builds a member's id.

    Args:
        process: The process id.
        disk: The identity of its data folder.

    Returns:
        The member id.
    """
    return ids.MemberId(f"{process}/{disk}")


def get_process(member: ids.MemberId) -> ids.ProcessId:
    """Gives the process of a member.

    Args:
        member: The member.

    Returns:
        Its process id; empty for no member.
    """
    return ids.ProcessId(member.partition("/")[0])


def apply_change(current: Membership, change: Change) -> Membership | None:
    """Applies one change, which alters the voters by one member at most.

    Args:
        current: The membership.
        change: The change.

    Returns:
        The new membership, or None when the change does not fit.
    """
    match change:
        case AddLearner(member):
            return _add_learner(current, member)
        case Promote(member) if member in current.learners:
            return dataclasses.replace(
                current,
                voters=tuple(sorted((*current.voters, member))),
                learners=tuple(m for m in current.learners if m != member),
            )
        case Demote(member) if member in current.voters:
            voters = tuple(m for m in current.voters if m != member)
            if not voters:
                return None
            return dataclasses.replace(
                current, voters=voters, learners=(*current.learners, member)
            )
        case Remove(member) if member in current.members:
            return _remove(current, member)
    return None


def _add_learner(
    current: Membership, member: ids.MemberId
) -> Membership | None:
    if member in current.members or member in current.retired:
        return None
    process = get_process(member)
    changed: Membership | None = current
    for other in current.members:
        if changed is not None and get_process(other) == process:
            changed = _remove(changed, other)
    if changed is None:
        return None
    return dataclasses.replace(changed, learners=(*changed.learners, member))


def _remove(current: Membership, member: ids.MemberId) -> Membership | None:
    voters = tuple(m for m in current.voters if m != member)
    if not voters:
        return None
    learners = tuple(m for m in current.learners if m != member)
    return Membership(voters, learners, (*current.retired, member))


def encode_membership(membership: Membership) -> bytes:
    """Encodes a membership for the log and snapshots.

    Args:
        membership: The membership.

    Returns:
        JSON bytes.
    """
    return msgspec.json.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Decodes a membership.

    Args:
        payload: What `encode_membership` gave.

    Returns:
        The membership.
    """
    return msgspec.json.decode(payload, type=Membership)
