"""The daemon: sockets, tasks and timers that apply decisions of the core."""
