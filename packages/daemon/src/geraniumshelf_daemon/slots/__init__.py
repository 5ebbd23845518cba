"""The claim of a slot of the own availability zone."""
