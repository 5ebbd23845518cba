"""Selection of backend servers, wait queues for slots and shares of links."""
