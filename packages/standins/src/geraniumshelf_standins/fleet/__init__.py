"""Starts daemons and stand-ins as separate processes on loopback."""
