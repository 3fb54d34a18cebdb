"""Table of the state versions that followers have reported as applied.

Every control process receives the heartbeats of all entries, so each of them
can list the entries that lag behind. The table does no I/O and reads no clock:
times are passed in.
"""

from collections import deque
import dataclasses

from bambookeel.core import ids

# Number of latest versions whose commit times are kept.
_MAX_COMMIT_TIMES = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerRow:
    """Status of one follower.

    Attributes:
        process_id: Process id of the entry.
        applied_version: The version that it last reported; 0 if it has not
            reported.
        heard_ms_ago: Time since its last report; -1 if it has not reported.
        behind_ms: Time since the commit of the oldest version that it has not
            applied; 0 if it has applied all.
        stopping: Whether it has reported that it is about to stop.
    """

    process_id: ids.ProcessId
    applied_version: ids.StateVersion
    heard_ms_ago: int
    behind_ms: int
    stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    version: ids.StateVersion
    received_ms: int
    stopping: bool


class FollowerTable:
    """The last report of each follower, and the latest commit times."""

    def __init__(self, followers: tuple[ids.ProcessId, ...]) -> None:
        self._reports: dict[ids.ProcessId, _Report | None] = {
            follower: None for follower in followers
        }
        # Versions with the time of their commit, oldest first.
        self._committed: deque[tuple[ids.StateVersion, int]] = deque(
            maxlen=_MAX_COMMIT_TIMES
        )

    def record_commit(self, version: ids.StateVersion, now_ms: int) -> None:
        """Records the commit time of a version.

        Args:
            version: The committed version.
            now_ms: Time of the commit.
        """
        self._committed.append((version, now_ms))

    def record_report(
        self,
        follower: ids.ProcessId,
        version: ids.StateVersion,
        stopping: bool,
        now_ms: int,
    ) -> None:
        """Records a follower's report.

        Args:
            follower: Process id of the entry.
            version: The version that it has applied.
            stopping: Whether it is about to stop.
            now_ms: Time when the report arrived.
        """
        self._reports[follower] = _Report(version, now_ms, stopping)

    def _compute_behind_ms(self, version: ids.StateVersion, now_ms: int) -> int:
        """Computes the time since the first later version was committed."""
        behind_ms = 0
        for committed, at_ms in reversed(self._committed):
            if committed <= version:
                break
            # At least 1, as 0 would mean that the follower is not behind.
            behind_ms = max(1, now_ms - at_ms)
        return behind_ms

    def list_rows(self, now_ms: int) -> list[FollowerRow]:
        """Lists all followers, including those that have not reported.

        Args:
            now_ms: Current time, on the clock of the recorded times.

        Returns:
            One row for each follower, sorted by process id.
        """
        rows = []
        for follower in sorted(self._reports):
            report = self._reports[follower]
            if report is None:
                version = ids.StateVersion(0)
                behind_ms = self._compute_behind_ms(version, now_ms)
                rows.append(
                    FollowerRow(follower, version, -1, behind_ms, False)
                )
                continue
            rows.append(
                FollowerRow(
                    follower,
                    report.version,
                    now_ms - report.received_ms,
                    self._compute_behind_ms(report.version, now_ms),
                    report.stopping,
                )
            )
        return rows
