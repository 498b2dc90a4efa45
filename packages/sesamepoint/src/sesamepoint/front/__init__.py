"""The entry that callers reach: takes requests and calls runners itself."""
