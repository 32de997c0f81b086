"""The learnt split between engines for prefill and engines for decode; pure.

`Pools` is a part of the fleet's decisions (`fleet/documents.py`, `docs/pools.md`): routers record statistics
of their requests, the lease holder decides from all summaries, and every router then knows the side of a
request and the side of an engine.
"""

from spoolbarrow.pools.part import Pools
from spoolbarrow.pools.split import Engine

__all__ = ["Engine", "Pools"]
