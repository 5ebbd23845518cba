"""Typed messages between daemons."""
