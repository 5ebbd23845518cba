"""Daemon for platforms that list the backend servers in their store."""
