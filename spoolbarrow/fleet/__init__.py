"""State that routers share: mergeable evidence, leases with epochs, and decisions that expire.

Nothing here does I/O or reads a clock; `net/store_follower.py` follows the store for it.
"""
