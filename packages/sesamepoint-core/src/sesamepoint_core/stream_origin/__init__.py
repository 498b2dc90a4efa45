"""Origins of streams: which runners may go on with a stream that has begun."""
