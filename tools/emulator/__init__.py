"""Simulation of the decision modules under load patterns in virtual time."""
