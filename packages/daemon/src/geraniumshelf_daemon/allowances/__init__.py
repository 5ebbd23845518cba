"""Limits of client accounts, shared with the other daemons."""
