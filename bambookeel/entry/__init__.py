"""Tasks of the entry role: callers, announcements, dispatch, state follower."""
