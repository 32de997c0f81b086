"""The replicated store: consensus first (`raft`), free of I/O and clock. Serving loads nothing of it."""
