"""Runner selection for a request, by estimated delay."""
