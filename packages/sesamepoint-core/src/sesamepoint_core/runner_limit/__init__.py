"""Rate limits that runners report, and their allocation among instances."""
