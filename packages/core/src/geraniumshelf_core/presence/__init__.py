"""Presence of the other daemons and selection of entry instances."""
