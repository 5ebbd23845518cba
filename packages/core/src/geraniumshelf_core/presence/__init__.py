"""Which instances run a daemon that takes callers."""
