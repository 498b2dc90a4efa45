"""One request in progress: attempts, retries, reply and cause of failure."""
