"""Membership of the fleet: live instances, watchers and peer links."""
