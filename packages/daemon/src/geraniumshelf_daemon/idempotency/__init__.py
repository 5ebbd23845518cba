"""Decides with peers whether a request runs."""
