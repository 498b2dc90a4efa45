"""Choice of the runner for a request, by estimated delay."""
