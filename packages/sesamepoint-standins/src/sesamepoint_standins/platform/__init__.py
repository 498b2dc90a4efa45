"""Stand-ins for the users' platform, all in one process and on virtual time."""
