"""Stand-ins for the cases of the review: platform store, usage endpoint, runners, clients, instances."""
