"""Commands of operators, grouped by what they act on."""
