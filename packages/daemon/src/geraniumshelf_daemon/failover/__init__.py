"""Spill to other regions within the plan's failover allowances."""
