"""Paged memory of an engine: blocks held by running requests, and blocks kept for prompts to come.

After W. Kwon et al., "Efficient Memory Management for Large Language Model Serving with PagedAttention",
SOSP '23, sections 4.1 and 4.4 (pages, sharing), and vLLM's automatic prefix caching (whole blocks only, a
block is found only behind all blocks before it, least recently used first to go, a text's end before its
beginning). Blocks are counted in runs: a run is the leading stretch of one text, an opening that many share
or what one session said after it. So no block has an object of its own, and thousands of engines fit.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from spoolbarrow.lab.scenario import ScenarioError

Key = Any  # hashable: names a text


class Run:
    """The blocks of one text in memory: `size` of them, of which `ready` are read."""

    __slots__ = ("key", "size", "ready", "users")

    def __init__(self, key: Key) -> None:
        self.key = key
        self.size = self.ready = 0
        self.users: dict[str, int] = {}  # blocks held, by request

    def held(self) -> int:
        """Blocks that some running request uses."""
        return max(self.users.values(), default=0)


class Memory:
    """`total` blocks; what is neither held nor kept is free."""

    __slots__ = ("total", "held", "size", "runs", "idle")

    def __init__(self, total: int) -> None:
        if total < 1:
            raise ScenarioError("memory", "must hold at least one block")
        self.total = total
        self.held = 0  # blocks that running requests use
        self.size = 0  # blocks in all runs
        self.runs: dict[Key, Run] = {}
        self.idle: OrderedDict[Key, None] = OrderedDict()  # runs with blocks nobody uses, oldest first

    def kept(self, key: Key) -> int:
        """Blocks of this text that need not be read again."""
        run = self.runs.get(key)
        return run.ready if run is not None else 0

    def fill(self, key: Key, blocks: int) -> None:
        """The first `blocks` blocks of a text that is held are read."""
        run = self.runs.get(key)
        if run is not None:
            run.ready = max(run.ready, min(blocks, run.size))

    def room(self) -> int:
        """Blocks that could be had: free ones, and kept ones that nobody uses."""
        return self.total - self.held

    def hold(self, user: str, key: Key, blocks: int) -> bool:
        """Let `user` hold the first `blocks` blocks of a text; False, and nothing changed, without room."""
        run = self.runs.get(key)
        if run is None:
            run = self.runs[key] = Run(key)
        before = run.held()
        more = max(0, blocks - before)
        if more > self.room():
            if not run.size:
                del self.runs[key]
            return False
        if not blocks and not run.size:
            del self.runs[key]
            return True
        run.users[user] = max(blocks, run.users.get(user, 0))
        self.held += more
        fresh = max(0, blocks - run.size)
        run.size += fresh
        self.size += fresh
        self._rank(run)
        if self.size > self.total:
            self._evict(self.size - self.total)
        return True

    def release(self, user: str, key: Key, keep: bool) -> None:
        """Let go of a text; what is read and nobody else uses stays as kept, or is dropped."""
        run = self.runs.get(key)
        if run is None or user not in run.users:
            return
        before = run.held()
        del run.users[user]
        after = run.held()
        self.held -= before - after
        stays = max(after, run.ready) if keep else after
        self.size -= run.size - stays
        run.size = stays
        run.ready = min(run.ready, stays)
        self._rank(run)

    def _rank(self, run: Run) -> None:
        """Used just now: the last to be evicted, if it has anything to evict."""
        self.idle.pop(run.key, None)
        if not run.size and not run.users:
            del self.runs[run.key]
        elif run.size > run.held():
            self.idle[run.key] = None

    def _evict(self, blocks: int) -> None:
        while blocks > 0:
            key = next(iter(self.idle))
            run = self.runs[key]
            held = run.held()
            cut = min(blocks, run.size - held)
            run.size -= cut
            run.ready = min(run.ready, run.size)
            self.size -= cut
            blocks -= cut
            if run.size == held:
                del self.idle[key]
                if not run.size and not run.users:
                    del self.runs[key]

    def check(self) -> None:
        """Raise AssertionError where the accounts do not add up."""
        held = sum(run.held() for run in self.runs.values())
        size = sum(run.size for run in self.runs.values())
        assert self.held == held and self.size == size, "accounts differ from the runs"
        assert 0 <= held <= size <= self.total, "more blocks than there are"
        idle = {run.key for run in self.runs.values() if run.size > run.held()}
        assert idle == set(self.idle), "the order of eviction misses a run"
        assert all(run.ready <= run.size for run in self.runs.values()), "read, but not in memory"
        assert all(run.size or run.users for run in self.runs.values()), "an empty run is kept"
