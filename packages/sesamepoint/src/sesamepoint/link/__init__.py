"""Links between the processes."""
