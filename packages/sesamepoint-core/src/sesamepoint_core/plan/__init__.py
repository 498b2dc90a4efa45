"""Planning of the roles of runners."""
