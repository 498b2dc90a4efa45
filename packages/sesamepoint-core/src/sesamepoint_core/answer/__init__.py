"""Answers: numbered chunks and what became of a request."""
