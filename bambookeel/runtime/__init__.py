"""Tasks, mailboxes, supervision, timers, logs and metrics."""
