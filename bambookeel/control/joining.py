"""How a replica's disk becomes a member: the first start, and later ones.

At the first start the process with the smallest id forms the membership once
all that are known have told that their disks are new. Any other new disk tells
them, and the leader, of itself until the leader takes it in.
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
    """The way of one disk into the membership."""

    def __init__(
        self,
        runner: core_runner.CoreRunner,
        member: ids.MemberId,
        known: tuple[ids.ProcessId, ...],
        is_first_start: bool,
    ) -> None:
        self.formation = formation.Formation(member, known)
        # Processes besides the known ones that may know the leader.
        self.contacts: tuple[ids.ProcessId, ...] = ()
        self._runner = runner
        self._is_first_start = is_first_start
        self._identity_due_ms = 0

    def try_to_join(self, now_ms: int) -> None:
        """Tells others of this disk until it is let in, at times.

        Args:
            now_ms: The time.
        """
        is_due = now_ms >= self._identity_due_ms
        if not is_due or records.is_committed_member(self._runner.core):
            return
        self._identity_due_ms = now_ms + _IDENTITY_PERIOD_MS
        own = membership.get_process(self.formation.member)
        if self.formation.control == (own,) and self._may_form():
            member = self.formation.member
            self._runner.form_membership(membership.Membership((member,)))
            return
        asked = dict.fromkeys((*self.formation.control, *self.contacts))
        for process in asked:
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
        """Takes in what another replica tells of its disk.

        Args:
            peer: The other replica.
            identity: The message.
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

    def notify_if_retired(self, answer: messages.AppendReply) -> None:
        """Tells a replaced disk that its answers count for nobody.

        Args:
            answer: An answer to the leader.
        """
        core = self._runner.core
        is_leading = core.role is records.Role.LEADER
        if not is_leading or core.membership_index > core.commit_index:
            return
        if answer.follower in core.membership.retired:
            process = membership.get_process(answer.follower)
            retired = messages.ReplicaRetired(answer.follower)
            self._runner.send(process, retired)

    def end_if_retired(self, member: ids.MemberId) -> None:
        """Ends the process of a disk that another one has replaced.

        Args:
            member: The retired member.
        """
        if member == self.formation.member:
            supervisor.end_process(
                f"the disk of {member} was retired from the deployment;"
                " empty the data folder to join again"
            )
