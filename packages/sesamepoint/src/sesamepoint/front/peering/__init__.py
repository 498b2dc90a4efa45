"""Messages between instances and the list of live peers."""
