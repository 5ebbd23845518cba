"""Shares of limits that hold over all daemons without a message."""
