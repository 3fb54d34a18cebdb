"""The members of the replicated log, and changes of the membership.

Voters count towards quorums; learners only receive entries, and may become
voters once they have caught up. A member is a process together with its disk: a
process whose disk was wiped is a new member, which inherits no vote or
acknowledgement given by the old one. Retired members are never added again.
"""

import dataclasses

import msgspec

from bambookeel.core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The members from one log index on.

    Attributes:
        voters: Members with a vote.
        learners: Members without a vote.
        retired: Members that were removed permanently.
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
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1


@dataclasses.dataclass(frozen=True, slots=True)
class AddLearner:
    """Adds a learner; a member with another disk of its process is retired."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Makes a learner a voter."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Removes a member permanently."""

    member: ids.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Demote:
    """Makes a voter a learner, such as one that is considered lost."""

    member: ids.MemberId


Change = AddLearner | Promote | Remove | Demote


def build_member_id(process: str, disk: str) -> ids.MemberId:
    """Builds a member id.

    Args:
        process: Process id, without a slash.
        disk: Random identity stored in the data folder.

    Returns:
        The member id, as `process/disk`.
    """
    return ids.MemberId(f"{process}/{disk}")


def get_process(member: ids.MemberId) -> ids.ProcessId:
    """Extracts the process id from a member id.

    Args:
        member: Member id; may be empty.

    Returns:
        The process id; empty for an empty member id.
    """
    return ids.ProcessId(member.partition("/")[0])


def apply_change(current: Membership, change: Change) -> Membership | None:
    """Applies a change, which adds or removes at most one voter.

    Args:
        current: Membership before the change.
        change: Change to apply.

    Returns:
        The new membership; None if the change does not apply to the current
        one or would leave no voter.
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
    """Encodes a membership for log entries.

    Args:
        membership: Membership to encode.

    Returns:
        A JSON document.
    """
    return msgspec.json.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Decodes a membership.

    Args:
        payload: Result of `encode_membership`.

    Returns:
        The decoded membership.
    """
    return msgspec.json.decode(payload, type=Membership)
