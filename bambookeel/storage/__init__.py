"""Synced log and snapshot files under one data folder."""
