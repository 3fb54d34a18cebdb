"""Step definitions."""
