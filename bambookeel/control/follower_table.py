"""What followers of state have applied, as they report it.

Every control process hears the heartbeats of all entries, so any of them can
tell who has not applied what. Takes reports with the time of their arrival and
gives rows; no clock, no I/O.
"""

from collections import deque
import dataclasses

from bambookeel.core import ids

# Versions whose time of commit is remembered.
_MAX_TIMES = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerRow:
    """One follower.

    Attributes:
        process_id: The entry.
        applied_version: The highest version it reported; 0 for none.
        heard_ms_ago: Time since its last report; -1 when never heard.
        behind_ms: For how long it has not applied what holds; 0 when it has.
        stopping: Whether it said that it is about to stop.
    """

    process_id: ids.ProcessId
    applied_version: ids.StateVersion
    heard_ms_ago: int
    behind_ms: int
    stopping: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    version: ids.StateVersion
    heard_at_ms: int
    stopping: bool


class FollowerTable:
    """The last report of each follower, beside what holds."""

    def __init__(self, followers: tuple[ids.ProcessId, ...]) -> None:
        self._reports: dict[ids.ProcessId, _Report | None] = {
            follower: None for follower in followers
        }
        # Versions with the time of their commit, oldest first.
        self._committed: deque[tuple[ids.StateVersion, int]] = deque(
            maxlen=_MAX_TIMES
        )

    def record_commit(self, version: ids.StateVersion, now_ms: int) -> None:
        """Notes when a version was committed.

        Args:
            version: The version.
            now_ms: The time.
        """
        self._committed.append((version, now_ms))

    def record_report(
        self,
        follower: ids.ProcessId,
        version: ids.StateVersion,
        stopping: bool,
        now_ms: int,
    ) -> None:
        """Notes what a follower has applied.

        Args:
            follower: The follower.
            version: The version that it has applied.
            stopping: Whether it is about to stop.
            now_ms: The time.
        """
        self._reports[follower] = _Report(version, now_ms, stopping)

    def _find_behind_ms(self, version: ids.StateVersion, now_ms: int) -> int:
        """Finds for how long something above a version has held."""
        behind_ms = 0
        for committed, at_ms in reversed(self._committed):
            if committed <= version:
                break
            # At least one, so that whoever is behind is never told as not.
            behind_ms = max(1, now_ms - at_ms)
        return behind_ms

    def list_rows(self, now_ms: int) -> list[FollowerRow]:
        """Lists all followers, those that were never heard included.

        Args:
            now_ms: The time.

        Returns:
            A row for each, by name.
        """
        rows = []
        for follower in sorted(self._reports):
            report = self._reports[follower]
            if report is None:
                version = ids.StateVersion(0)
                behind_ms = self._find_behind_ms(version, now_ms)
                rows.append(
                    FollowerRow(follower, version, -1, behind_ms, False)
                )
                continue
            rows.append(
                FollowerRow(
                    follower,
                    report.version,
                    now_ms - report.heard_at_ms,
                    self._find_behind_ms(report.version, now_ms),
                    report.stopping,
                )
            )
        return rows
