"""Values from outside that no reader expects: nested deep, huge, out of range."""
