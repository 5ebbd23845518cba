"""Numbered events, metrics and the time line of a daemon."""
