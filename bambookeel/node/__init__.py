"""A node: one process that accepts calls, replicates the book and schedules."""
