"""Fleet-wide limits of client accounts, shared among the daemons."""
