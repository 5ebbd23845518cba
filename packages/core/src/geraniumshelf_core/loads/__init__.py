"""Loads of backend servers and traffic at entry instances, as reported."""
