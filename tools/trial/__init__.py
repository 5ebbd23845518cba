"""Deployments of processes for measurements."""
