"""The entry: where callers come in."""
