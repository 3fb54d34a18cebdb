"""Decides when the replicas of a new deployment form their membership.

A pure step. Only the replica with the smallest process id forms, and only when
every replica of the settings has told that its disk is new; a replica whose
disk was lost meets others that know a membership, and waits to be taken in.
"""

import dataclasses

from bambookeel.consensus import membership
from bambookeel.core import ids
from bambookeel.core import messages


@dataclasses.dataclass(slots=True)
class Formation:
    """What a replica without a membership knows of the others.

    Attributes:
        member: Own member id.
        control: All control processes.
        heard: What each other process told last.
    """

    member: ids.MemberId
    control: tuple[ids.ProcessId, ...]
    heard: dict[ids.ProcessId, messages.ReplicaIdentity] = dataclasses.field(
        default_factory=dict
    )


def record_identity(
    formation: Formation, identity: messages.ReplicaIdentity
) -> None:
    """Takes in what another replica tells of itself.

    Args:
        formation: What is known.
        identity: The message.
    """
    process = membership.get_process(identity.member)
    formation.heard[process] = identity


def try_to_form(formation: Formation) -> membership.Membership | None:
    """Forms the first membership if all replicas are new.

    Args:
        formation: What is known.

    Returns:
        The membership, or None while it must not or need not form here.
    """
    own = membership.get_process(formation.member)
    if own != min(formation.control):
        return None
    members = [formation.member]
    for process in formation.control:
        if process == own:
            continue
        identity = formation.heard.get(process)
        if identity is None or identity.has_membership:
            return None
        members.append(identity.member)
    return membership.Membership(tuple(sorted(members)))


def describe_wait(formation: Formation) -> str:
    """Tells what a replica without a membership waits for.

    Args:
        formation: What is known.

    Returns:
        One sentence.
    """
    own = membership.get_process(formation.member)
    known = [i for i in formation.heard.values() if i.has_membership]
    if known:
        return "this new disk waits to be taken in by the leader"
    missing = [
        process
        for process in formation.control
        if process != own and process not in formation.heard
    ]
    if missing:
        return f"a first start waits for {', '.join(missing)}"
    return f"a first start waits for {min(formation.control)} to form"
