"""Decisions, configuration model and messages; no I/O and no clock reads."""
