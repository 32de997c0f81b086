"""What routers know and decide in common: evidence that adds up, leases with epochs, decisions that end.

Nothing here does I/O or reads a clock; `net/store_follower.py` follows the store for it.
"""
