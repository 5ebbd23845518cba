"""Simulated platform: object store, watches, instance list and faults."""
