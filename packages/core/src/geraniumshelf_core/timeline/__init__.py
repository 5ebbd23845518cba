"""Events of all processes in an order that respects cause."""
