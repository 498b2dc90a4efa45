"""When an instance repeats a failed call to the platform's store."""
