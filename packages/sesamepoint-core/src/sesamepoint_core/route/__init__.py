"""Which runner gets a request, and whether it should get one at all."""
