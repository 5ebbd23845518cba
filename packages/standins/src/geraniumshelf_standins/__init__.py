"""Simulated external systems for tests, the demo and measurements."""
