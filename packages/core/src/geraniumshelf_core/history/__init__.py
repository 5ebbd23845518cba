"""History of the platform's store, which may be restored from an older copy."""
