"""Client blocks and the order of entry instances in look-up responses."""
