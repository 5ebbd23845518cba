"""Named measurements; each module adds its own."""
