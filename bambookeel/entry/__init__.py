"""The entry role: serves callers, dispatches services and follows the state."""
