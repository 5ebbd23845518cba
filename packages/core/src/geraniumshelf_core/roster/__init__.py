"""The table of all members that flows over the links of a large fleet."""
