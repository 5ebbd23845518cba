"""Access to the platform's object API and instance list."""
