"""HTTP servers for callers and operators, and the path of requests."""
