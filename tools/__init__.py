"""The demo, the measurements and helpers for developers."""
