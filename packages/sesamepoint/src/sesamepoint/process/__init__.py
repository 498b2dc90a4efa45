"""Assembly, start and graceful stop of the processes."""
