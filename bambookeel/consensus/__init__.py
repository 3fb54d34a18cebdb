"""The replicated log as pure steps: (state, event) -> (state, effects)."""
