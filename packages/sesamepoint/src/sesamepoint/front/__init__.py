"""Front: the instances that take requests from callers and send them to runners."""
