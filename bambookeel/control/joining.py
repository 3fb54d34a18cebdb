"""Brings a replica's disk into the membership, at the first start and later.

At the first start the process with the smallest id forms the membership once
all known processes have reported that their disks are new. Any other new disk
sends its identity to them, and to processes that may know the leader, until the
leader adds it.
"""

from bambookeel.consensus import events as core_events
from bambookeel.consensus import membership
from bambookeel.consensus import records
from bambookeel.control import core_runner
from bambookeel.control import formation
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.runtime import supervisor

_IDENTITY_PERIOD_MS = 200


class Joining:
    """Brings the disk of one replica into the membership."""

    def __init__(
        self,
        runner: core_runner.CoreRunner,
        member: ids.MemberId,
        known_processes: tuple[ids.ProcessId, ...],
        is_first_start: bool,
    ) -> None:
        self.formation = formation.Formation(member, known_processes)
        # Further processes that may know the leader.
        self.contacts: tuple[ids.ProcessId, ...] = ()
        self._runner = runner
        self._is_first_start = is_first_start
        self._identity_due_ms = 0

    def try_to_join(self, now_ms: int) -> None:
        """Sends this disk's identity periodically until it is a member.

        Args:
            now_ms: Current time on the monotonic clock.
        """
        is_due = now_ms >= self._identity_due_ms
        if not is_due or records.is_committed_member(self._runner.core):
            return
        self._identity_due_ms = now_ms + _IDENTITY_PERIOD_MS
        own = membership.get_process(self.formation.member)
        if self.formation.known_processes == (own,) and self._may_form():
            member = self.formation.member
            self._runner.form_membership(membership.Membership((member,)))
            return
        recipients = dict.fromkeys(
            (*self.formation.known_processes, *self.contacts)
        )
        for process in recipients:
            if process != own:
                self._runner.send(process, self._build_identity(True))

    def _may_form(self) -> bool:
        is_new = not self._runner.has_membership()
        return is_new and self._is_first_start

    def _build_identity(self, wants_reply: bool) -> messages.ReplicaIdentity:
        has_membership = self._runner.has_membership()
        return messages.ReplicaIdentity(
            self.formation.member, has_membership, wants_reply
        )

    def handle_identity(
        self, peer: ids.ProcessId, identity: messages.ReplicaIdentity
    ) -> None:
        """Handles the identity of another replica's disk.

        Args:
            peer: The process that sent the identity.
            identity: The received message.
        """
        self._runner.run_step(core_events.NonMemberSeen(identity.member))
        if identity.wants_reply:
            self._runner.send(peer, self._build_identity(False))
        if not self._may_form():
            return
        formation.record_identity(self.formation, identity)
        formed = formation.try_to_form(self.formation)
        if formed is not None:
            self._runner.form_membership(formed)

    def notify_if_retired(self, reply: messages.AppendReply) -> None:
        """Notifies the sender of a reply if its disk was replaced.

        Replies of a retired member no longer count.

        Args:
            reply: A follower's reply to this replica.
        """
        core = self._runner.core
        is_leading = core.role is records.Role.LEADER
        if not is_leading or core.membership_index > core.commit_index:
            return
        if reply.follower in core.membership.retired:
            process = membership.get_process(reply.follower)
            retired = messages.ReplicaRetired(reply.follower)
            self._runner.send(process, retired)

    def end_if_retired(self, member: ids.MemberId) -> None:
        """Ends this process if another disk has replaced its own.

        Args:
            member: Member id of the retired disk.
        """
        if member == self.formation.member:
            supervisor.end_process(
                f"the disk of {member} was retired from the deployment;"
                " empty the data folder to join again"
            )
