"""Per-daemon shares of limits that hold across all daemons."""
