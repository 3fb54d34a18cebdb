"""Bounds and scheduler settings of the simulated deployment."""

from bambookeel.jobs import settings as job_settings

BOUNDS = job_settings.Bounds(
    longest_lease_ms=6_000,
    keep_ended_ms=600_000,
    holder_lease_ms=3_000,
    unavailable_ms=4_500,
    over_target_ms=4_000,
    restore_ms=600,
    upkeep_ms=2_000,
)
SETTINGS = job_settings.SchedulerSettings.from_bounds(BOUNDS)
