"""Spills requests to other regions within the failover allowances of plans."""
