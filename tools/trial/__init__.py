"""Deployments, load and trials for the measurements."""
