"""Which runner should take which role."""
