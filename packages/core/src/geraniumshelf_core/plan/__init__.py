"""Traffic plans and the capped steps between them."""
