"""Traffic steering: load reports, plan proposals and applied plans."""
