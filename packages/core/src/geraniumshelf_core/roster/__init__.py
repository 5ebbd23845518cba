"""Table of all members, which is spread over the links of a large fleet."""
