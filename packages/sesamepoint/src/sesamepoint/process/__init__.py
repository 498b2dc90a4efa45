"""Assembly of the components of each kind of process."""
