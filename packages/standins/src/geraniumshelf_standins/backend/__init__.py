"""A backend server as its own process."""
