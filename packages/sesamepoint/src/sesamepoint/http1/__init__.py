"""HTTP/1.1 on trio streams: one client connection, one server connection."""
