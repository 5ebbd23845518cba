"""A TCP relay that causes the failures of a link."""
