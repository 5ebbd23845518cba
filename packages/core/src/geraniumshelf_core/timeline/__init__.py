"""Events of all processes, ordered so that effects follow their causes."""
