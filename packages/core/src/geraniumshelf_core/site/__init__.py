"""Operators' configuration where a platform's store holds it whole."""
