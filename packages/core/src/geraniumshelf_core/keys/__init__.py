"""Keys of client accounts."""
