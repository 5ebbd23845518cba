"""Queue of requests that wait for a slot of a backend server."""
