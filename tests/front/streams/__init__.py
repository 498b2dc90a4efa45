"""Tests of streams that go on at other runners."""
