"""Claiming a slot in the availability zone of this daemon."""
