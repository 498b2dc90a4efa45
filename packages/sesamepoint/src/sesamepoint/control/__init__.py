"""Control log follower, planning leader and its lease."""
