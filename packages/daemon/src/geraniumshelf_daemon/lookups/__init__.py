"""Answers to look-ups of callers."""
