"""Limits that the daemons never exceed in total: floors, buckets and loans."""
