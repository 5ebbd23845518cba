"""Log events, metrics and the timeline of a daemon."""
