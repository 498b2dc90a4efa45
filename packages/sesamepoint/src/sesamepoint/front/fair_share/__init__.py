"""Fair shares of capacity among client accounts."""
