"""Reported loads of backend servers and traffic of entry instances."""
