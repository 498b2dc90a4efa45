"""What becomes of requests when this instance stops as planned."""
