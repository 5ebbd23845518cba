"""Fair shares of a link between regions."""
