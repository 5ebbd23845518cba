"""Keeps track of members and tells peers about this daemon."""
