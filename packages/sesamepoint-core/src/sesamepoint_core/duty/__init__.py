"""The duty that one instance holds at a time, and the usage reports that it sends."""
