"""Which work is let in, and how often it may be tried again."""
