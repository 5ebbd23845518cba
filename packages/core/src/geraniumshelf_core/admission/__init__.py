"""Whether a request can be served in time, and when to come back."""
