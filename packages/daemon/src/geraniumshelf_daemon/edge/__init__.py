"""The daemon where a platform lists the backend servers in its store."""
