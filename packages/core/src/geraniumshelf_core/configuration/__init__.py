"""Model, files, stored parts and comparison of configurations."""
