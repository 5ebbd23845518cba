"""The configuration model, its files, its parts and its differences."""
