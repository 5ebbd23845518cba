"""Admission of requests: whether one can be served in time, when to retry."""
