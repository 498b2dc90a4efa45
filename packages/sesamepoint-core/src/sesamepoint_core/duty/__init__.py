"""A duty that one instance holds at a time, and the reports on use that it is for."""
