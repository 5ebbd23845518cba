"""Simulated backend server."""
