"""Demo, measurements and other tools for developers."""
