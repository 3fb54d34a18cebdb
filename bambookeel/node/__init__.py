"""One process that takes calls, keeps the replicated book and schedules."""
