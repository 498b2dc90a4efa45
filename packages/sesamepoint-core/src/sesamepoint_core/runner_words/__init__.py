"""What a runner says of itself in its answers, and what is believed of it."""
