"""A duty that one instance at a time holds by a lease, and the usage reports that it sends."""
