"""Dispatch logic: slots, queues, fair shares, team limits and retries."""
