"""Status headers in the answers of runners, and the state of a runner derived from them."""
