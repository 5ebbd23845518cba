"""Selection of backend servers and sharing of slots and links."""
