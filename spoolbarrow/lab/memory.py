"""Paged memory of an engine: blocks held by running requests, and cached blocks for later prompts.

After W. Kwon et al., "Efficient Memory Management for Large Language Model Serving with PagedAttention",
SOSP '23, sections 4.1 and 4.4 (pages, sharing), and vLLM's automatic prefix caching (whole blocks only, a
block is a hit only if all blocks before it are, least recently used evicted first, the end of a text before
its beginning). Blocks are counted in runs: a run is the leading part of one text, either a prefix that many
requests share or the rest of one session's context. So no block needs an object of its own, and thousands of
engines fit in memory.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from spoolbarrow.lab.scenario import ScenarioError

Key = Any  # hashable: identifies a text


class Run:
    """The blocks of one text in memory: `size` of them, of which `ready` are prefilled."""

    __slots__ = ("key", "size", "ready", "users")

    def __init__(self, key: Key) -> None:
        self.key = key
        self.size = self.ready = 0
        self.users: dict[str, int] = {}  # blocks held by each request

    def held(self) -> int:
        """The number of blocks that running requests use."""
        return max(self.users.values(), default=0)


class Memory:
    """`total` blocks; those neither held nor cached are free."""

    __slots__ = ("total", "held", "size", "runs", "idle")

    def __init__(self, total: int) -> None:
        if total < 1:
            raise ScenarioError("memory", "must hold at least one block")
        self.total = total
        self.held = 0  # blocks that running requests use
        self.size = 0  # blocks in all runs
        self.runs: dict[Key, Run] = {}
        self.idle: OrderedDict[Key, None] = OrderedDict()  # runs with unused blocks, least recent first

    def kept(self, key: Key) -> int:
        """The number of blocks of this text that need no prefill."""
        run = self.runs.get(key)
        return run.ready if run is not None else 0

    def fill(self, key: Key, blocks: int) -> None:
        """Mark the first `blocks` blocks of a held text as prefilled."""
        run = self.runs.get(key)
        if run is not None:
            run.ready = max(run.ready, min(blocks, run.size))

    def room(self) -> int:
        """The number of blocks that can be allocated: free ones, and cached ones that no request uses."""
        return self.total - self.held

    def hold(self, user: str, key: Key, blocks: int) -> bool:
        """Let `user` hold the first `blocks` blocks of a text; False, with no change, if they don't fit."""
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
        """Release a text; with `keep`, prefilled blocks that no other request uses stay cached."""
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
        """Make a run the most recently used, if it has blocks to evict."""
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
        """Raise AssertionError if the counts are inconsistent."""
        held = sum(run.held() for run in self.runs.values())
        size = sum(run.size for run in self.runs.values())
        assert self.held == held and self.size == size, "counts differ from the runs"
        assert 0 <= held <= size <= self.total, "more blocks in use than exist"
        idle = {run.key for run in self.runs.values() if run.size > run.held()}
        assert idle == set(self.idle), "the eviction order misses a run"
        assert all(run.ready <= run.size for run in self.runs.values()), "prefilled, but not in memory"
        assert all(run.size or run.users for run in self.runs.values()), "an empty run was not removed"
