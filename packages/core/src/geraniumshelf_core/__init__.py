"""Decisions, configuration model and messages, without I/O or clock reads."""
