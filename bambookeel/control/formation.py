"""Decides when the replicas of a new deployment form their membership.

Only the replica with the smallest process id forms the membership, and only
once every other replica in the settings has reported that its disk is new. A
replica whose disk was lost finds that others have a membership, and waits until
the leader adds it. This module does no I/O and reads no clock.
"""

import dataclasses

from bambookeel.consensus import membership
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(slots=True)
class Formation:
    """Identities that a replica without a membership has received.

    Attributes:
        member: Member id of this replica.
        known_processes: Process ids of the replicas in the settings, this one
            included.
        identities: The last identity message from each other process.
    """

    member: ids.MemberId
    known_processes: tuple[ids.ProcessId, ...]
    identities: dict[ids.ProcessId, messages.ReplicaIdentity] = (
        dataclasses.field(default_factory=dict)
    )


def record_identity(
    formation: Formation, identity: messages.ReplicaIdentity
) -> None:
    """Records the identity that another replica has sent.

    Args:
        formation: Updated in place.
        identity: The received message.
    """
    process = membership.get_process(identity.member)
    formation.identities[process] = identity


def try_to_form(formation: Formation) -> membership.Membership | None:
    """Forms the first membership if all replicas are new.

    Args:
        formation: The received identities.

    Returns:
        The membership; None if another replica has to form it, has a
        membership already, or has not reported.
    """
    own = membership.get_process(formation.member)
    if own != min(formation.known_processes):
        return None
    members = [formation.member]
    for process in formation.known_processes:
        if process == own:
            continue
        identity = formation.identities.get(process)
        if identity is None or identity.has_membership:
            return None
        members.append(identity.member)
    return membership.Membership(tuple(sorted(members)))


def describe_wait(formation: Formation) -> str:
    """Describes what a replica without a membership is waiting for.

    Args:
        formation: The received identities.

    Returns:
        A short text for operators.
    """
    own = membership.get_process(formation.member)
    with_membership = [
        i for i in formation.identities.values() if i.has_membership
    ]
    if with_membership:
        return "this new disk waits to be taken in by the leader"
    missing = [
        process
        for process in formation.known_processes
        if process != own and process not in formation.identities
    ]
    if missing:
        return f"a first start waits for {', '.join(missing)}"
    return f"a first start waits for {min(formation.known_processes)} to form"
