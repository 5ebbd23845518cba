"""Named measurements, which the modules of this package register."""
