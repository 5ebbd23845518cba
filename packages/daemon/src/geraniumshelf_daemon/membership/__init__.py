"""Tracking of the fleet members and announcements to peers."""
