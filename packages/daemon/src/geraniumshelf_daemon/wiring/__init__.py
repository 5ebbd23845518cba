"""Construction of the parts of the daemon and adapters between them."""
