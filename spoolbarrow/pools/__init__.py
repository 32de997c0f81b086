"""The split between engines that read prompts and engines that write answers, learnt; pure.

`Pools` is a part of what the fleet decides in common (`fleet/documents.py`, `docs/pools.md`): routers note
what their requests showed, the lease's holder decides from all summaries, and every router then knows the
side of a request and the side of an engine.
"""

from spoolbarrow.pools.part import Pools
from spoolbarrow.pools.split import Engine

__all__ = ["Engine", "Pools"]
