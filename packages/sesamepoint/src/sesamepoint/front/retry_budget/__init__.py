"""The share of this instance in the retry budget of all instances."""
