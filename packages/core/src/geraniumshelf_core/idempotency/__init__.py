"""At-most-once execution of requests: request ids and run records."""
