"""At-most-once execution of requests, decided together with peers."""
