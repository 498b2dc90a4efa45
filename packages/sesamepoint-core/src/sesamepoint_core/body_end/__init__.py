"""How the body of a response ended, and whether it is whole."""
