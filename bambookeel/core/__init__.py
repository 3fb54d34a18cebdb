"""Plain data shared by every stage: ids, outcomes, messages and settings."""
