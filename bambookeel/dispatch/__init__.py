"""Decisions on slots, queues, shares, limits and retries."""
