"""Commands for operators, one module for each kind of target."""
