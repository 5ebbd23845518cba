"""Load reports and the proposer of traffic plans."""
