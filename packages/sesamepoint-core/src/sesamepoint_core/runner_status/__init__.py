"""Status that runners report in the heads of their answers, and the known status of each."""
