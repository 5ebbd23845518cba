"""Fair queueing of traffic on links between regions."""
