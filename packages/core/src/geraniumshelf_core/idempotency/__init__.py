"""Request ids and run records: at-most-once execution."""
