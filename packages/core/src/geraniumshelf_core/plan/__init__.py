"""Traffic plans and the capped steps that change them."""
