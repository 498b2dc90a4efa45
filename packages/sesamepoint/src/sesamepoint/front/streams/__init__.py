"""Streams that go on at other runners and instances than those that began them."""
