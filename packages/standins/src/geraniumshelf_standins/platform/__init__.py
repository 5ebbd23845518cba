"""Simulated platform: object API, watches, instance list and faults."""
