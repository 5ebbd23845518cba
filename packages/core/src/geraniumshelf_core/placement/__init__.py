"""Selection of a backend server by the object that a request concerns."""
