"""Model of the operator's configuration, and its checks."""
