"""Connections to backend servers and exchanges over them."""
