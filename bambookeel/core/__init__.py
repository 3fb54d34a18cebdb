"""Plain data shared by all packages: ids, outcomes, messages and settings."""
