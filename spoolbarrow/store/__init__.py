"""Replicated store: Raft consensus (`raft`), free of I/O and clock, and its server. Serving imports none of
it.
"""
