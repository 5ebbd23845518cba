"""Simulated caller: looks up entry instances and sends requests to them."""
