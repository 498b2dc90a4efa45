"""Decision logic without I/O: what a process concludes from the messages it receives."""
