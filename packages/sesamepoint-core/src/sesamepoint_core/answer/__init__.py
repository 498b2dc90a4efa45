"""Assembly of answers from numbered chunks, and the outcomes of requests."""
