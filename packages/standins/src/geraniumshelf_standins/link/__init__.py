"""TCP relay that injects link faults."""
