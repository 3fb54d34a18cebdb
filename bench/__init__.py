"""Measurements that print one comparable line each."""
