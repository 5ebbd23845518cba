"""Starts daemons and simulated systems as processes on loopback addresses."""
