"""Limits that no set of daemons may exceed: floors, buckets and loans."""
