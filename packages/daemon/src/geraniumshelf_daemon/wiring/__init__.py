"""Small adapters between the parts of the daemon."""
