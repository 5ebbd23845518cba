"""The daemon: sockets, tasks and timers around the decisions of the core."""
