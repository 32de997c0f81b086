"""Collects traffic statistics for the split of the pool into prefill and decode, and reports that split.

This is the adapter between a host and `spoolbarrow.pools`, a part of the fleet's decisions: an observer that
records prompts, answers, speeds and load reports, bounded (`MAX_TRACKED_REQUESTS` requests, `TAIL_BYTES` of
each), and the status for operators. It must neither block serving nor raise into it. Decisions are made in
the store follower's greenlet, which yields to serving between their steps and makes all calls to the store.
The split is advisory: decisions about requests do not use it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

import gevent
import msgspec

from spoolbarrow import interface as i
from spoolbarrow.net.log import log
from spoolbarrow.net.observers import Observer
from spoolbarrow.pools import Engine, Pools, split
from spoolbarrow.pools.traffic_stats import TrafficRecorder

if TYPE_CHECKING:
    from spoolbarrow.net.host import Host
    from spoolbarrow.net.request import Attempt, Request
    from spoolbarrow.operator import FleetTable

MAX_TRACKED_REQUESTS = 20_000  # tracked at a time; further ones are not recorded
TAIL_BYTES = 1024  # kept of a stream's end, where its usage is
MAX_TYPE_CHARS = 64  # of an engine type's name
MAX_COMPLETION_TOKENS = 1e6  # larger reported numbers are invalid
DECISION_INTERVAL_MS = 2000.0  # between decisions
YIELD_S = 0.0005  # pause within a decision; a shorter one would run the loop's callbacks but no sockets
INTERRUPTED = frozenset({"left", "moved", "given", "broken"})  # answers that may have begun but did not end


class Usage(msgspec.Struct):
    """The usage in the last event of a stream, as far as it is used here."""

    class Details(msgspec.Struct):
        """Details of the prompt."""

        cached_tokens: int = 0

    completion_tokens: int = 0
    prompt_tokens_details: Details | None = None


class _Event(msgspec.Struct):
    usage: Usage | None = None


_event = msgspec.json.Decoder(_Event)


class _TrackedRequest:
    """An open request."""

    __slots__ = ("events", "facts", "tail")

    def __init__(self, facts: i.RequestArrived) -> None:
        self.facts = facts
        self.events = 0  # of the stream: stands for its tokens if there is no usage
        self.tail = b""


def parse_usage(tail: bytes) -> Usage | None:
    """The usage at a stream's end; None if there is none or it is invalid."""
    at = tail.rfind(b'"usage"')
    start = tail.rfind(b"data:", 0, at) if at >= 0 else -1
    if start < 0:
        return None
    try:
        found = _event.decode(tail[start + 5 :].partition(b"\n")[0]).usage
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return found if found is not None and 0 <= found.completion_tokens <= MAX_COMPLETION_TOKENS else None


class PoolSplit(Observer):
    """The fleet part held by the store follower; `watch` sets its host."""

    kind = "pools"

    def __init__(self, name: str) -> None:
        self._pools = Pools(0.0, ())
        self._host: Host | None = None
        self._fixed_roles: dict[str, str] = {}  # by engine type
        self._class_keys: object = None  # classes and tenants that the recorded numbers refer to
        self._config: object = None  # at the last refresh
        self._listing: object = None  # that the engines were read from
        self._tracked: dict[str, _TrackedRequest] = {}
        self._decided_at = -1e18
        self._decisions = 0  # made by this process
        self._decided: dict[str, object] | None = None  # figures of the last of them
        self._plan: split.Plan | None = None  # last adopted, also if it has no split
        self.untracked = 0  # requests beyond MAX_TRACKED_REQUESTS

    # Called by the store follower

    def watch(self, host: Host, table: FleetTable) -> None:
        """Start observing the host; called again with new settings, which keeps what was recorded."""
        self._fixed_roles = dict.fromkeys(table.only_read, "read") | dict.fromkeys(table.only_write, "write")
        if self._host is None:
            self._host = host
            host.observers.add(self)
        self._refresh(host)

    def end(self) -> None:
        """Stop observing."""
        if self._host is not None:
            self._host.observers.remove(self)
        self._host = None
        self._tracked.clear()

    def summary(self, now: float) -> bytes:
        """The statistics of this router."""
        if self._host is not None:
            self._refresh(self._host)
        return self._pools.summary(now)

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """A decision by `spoolbarrow.pools`, at most every DECISION_INTERVAL_MS: inputs change no faster."""
        if self._host is None or 0.0 <= now - self._decided_at < DECISION_INTERVAL_MS:
            return None
        self._decided_at = now
        self._refresh(self._host)
        # A separate instance: the list may change whenever it yields, and a decision must use one list.
        decider = Pools(now, self._pools.classes, self._pools.portions, self._yield)
        decider.set_engines(self._pools.engines)
        decision = decider.decide(now, bodies, last)
        self._decisions += 1
        # This part may have been ended meanwhile.
        took_ms = round(self._host.now() - now) if self._host is not None else 0
        self._decided = {"number": self._decisions, "summaries": len(bodies), "took_ms": took_ms}
        return decision

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Report this split from now on, or none."""
        old, adopted = self._pools.plan, self._pools.adopt(now, body)
        self._plan = split.decode_plan(body) if adopted else None
        new = self._pools.plan
        if (old and old.prefill_engines) != (new and new.prefill_engines):
            why = self._plan.reason if self._plan is not None else "no decision is valid"
            readers = len(new.prefill_engines) if new else 0
            log("fleet_split", readers=readers, engines=len(self._pools.engines), why=why)
        return adopted

    def status(self) -> dict[str, object]:
        """The split in effect, or why there is none, and this router's own statistics."""
        pools, plan, stats = self._pools, self._plan, self._pools.recorder.stats
        active = None
        if pools.plan is not None:
            names = sorted(self._host.config.classes.items(), key=lambda item: item[1]) if self._host else []
            limits = pools.plan.prefill_min_tokens
            active = {
                "readers": pools.plan.prefill_engines, "since_ms": round(pools.plan.since_ms),
                "reads_from": {name: limits[n] for name, n in names
                               if n < len(limits) and limits[n] != split.NEVER_PREFILL},
                "late_without": round(pools.plan.unsplit_loss, 4),
                "late_with": round(pools.plan.split_loss, 4),
            }  # fmt: skip
        cells = list(stats.cells.values())
        return {
            "split": active, "why": "no decision is valid" if plan is None else plan.reason,
            "wanted": None if plan is None or not any(plan.wanted) else list(plan.wanted),
            "decided": self._decided,
            "own": {
                "asked": round(sum(cell.weight() for cell in cells), 1),
                "answered": round(sum(cell.answered for cell in cells), 1),
                "late": round(sum(cell.late for cell in cells), 1),
                "types": sorted(stats.speeds), "open": len(self._tracked), "unnoted": self.untracked,
            },
        }  # fmt: skip

    @staticmethod
    def _yield() -> None:
        gevent.sleep(YIELD_S)

    def _refresh(self, host: Host) -> None:
        """Read the host's current settings and list."""
        config, pools = host.config, self._pools
        self._config = config
        classes = (config.settings.classes, config.classes, config.tenants)
        if classes != self._class_keys:  # recorded numbers refer to others: discard them
            self._class_keys, pools.recorder = classes, TrafficRecorder(host.now())
        pools.classes = config.settings.classes
        total = sum(tenant.portion for tenant in config.settings.tenants)
        pools.portions = [tenant.portion / total for tenant in config.settings.tenants] if total > 0.0 else []
        self._listing = host.destinations.listing()
        pools.set_engines({
            line.name: Engine(
                line.type[:MAX_TYPE_CHARS], config.zones.get(line.zone, config.settings.zone),
                host.destinations.starting(line.name), self._fixed_roles.get(line.type, ""),
            )
            for line in host.destinations.seen()[1] if host.destinations.serving(line.name)
        })  # fmt: skip

    def _type(self, endpoint: str) -> str | None:
        """An engine's type; None if it is not in service."""
        host = self._host
        if host is not None and host.destinations.listing() is not self._listing:
            self._refresh(host)
        engine = self._pools.engines.get(endpoint)
        return engine.engine_type if engine is not None else None

    # Called as an observer

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """Track a request if its prompt length is known, which it is not for a stream that was taken over."""
        if facts.prompt_tokens <= 0:
            return
        if len(self._tracked) >= MAX_TRACKED_REQUESTS:
            self.untracked += 1
            return
        self._tracked[request.key] = _TrackedRequest(facts)

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Count events and keep the stream's end."""
        entry = self._tracked.get(request.key)
        if entry is not None:
            for part in parts:
                entry.events += part.count(b"data:")
            entry.tail = (entry.tail + b"".join(parts)[-TAIL_BYTES:])[-TAIL_BYTES:]

    def request_answered(self, request: Request) -> None:
        """Record a request's result, unless its numbers refer to other classes or tenants by now."""
        entry = self._tracked.pop(request.key, None)
        if entry is None or self._host is None:
            return
        if self._host.config is not self._config:
            self._refresh(self._host)
        taken, settings = entry.facts.settings, self._host.config.settings
        if taken is not None and taken is not settings and not taken.numbers_alike(settings):
            return
        now, stream = self._host.now(), request.serving_attempt
        if request.answer_kind == "served" and stream is not None:
            self._record_served(now, request, entry, stream)
        elif request.answer_kind in INTERRUPTED:
            late = request.answer_kind == "broken" or stream is None
            self._record_prompt(now, entry.facts, -1.0)
            self._pools.recorder.record_answer(
                now,
                entry.facts.cls,
                entry.facts.tenant,
                entry.events if stream is not None else 0,
                False,
                late,
            )
        elif request.answer_kind != "rejected":  # rejected: the client's fault
            self._pools.recorder.record_answer(now, entry.facts.cls, entry.facts.tenant, 0, False, True)

    def request_over(self, request: Request, now: float) -> None:
        """Stop tracking a request, whatever its end."""
        self._tracked.pop(request.key, None)

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """Record an engine's load."""
        kind = self._type(endpoint)
        if self._host is not None and kind is not None:
            self._pools.recorder.record_load(self._host.now(), kind, report.busy_share, report.memory_share)

    def _record_served(self, now: float, request: Request, entry: _TrackedRequest, stream: Attempt) -> None:
        facts, notes, usage = entry.facts, self._pools.recorder, parse_usage(entry.tail)
        details = usage.prompt_tokens_details if usage is not None else None
        tokens = usage.completion_tokens if usage is not None and usage.completion_tokens else entry.events
        uncached = max(
            0.0, float(facts.prompt_tokens - (details.cached_tokens if details is not None else 0))
        )
        self._record_prompt(now, facts, uncached)
        cls, rest_ms = self._pools.classes[facts.cls], now - stream.first_at
        slow = tokens > 1 and 0.0 < cls.token_aim_ms < rest_ms / (tokens - 1)
        late = slow or stream.first_at - request.taken_at > cls.aim(facts.prompt_tokens)
        notes.record_answer(now, facts.cls, facts.tenant, tokens, True, late)
        kind = self._type(stream.endpoint)
        if kind is not None:
            notes.record_timing(now, kind, uncached, stream.first_at - stream.sent_at, tokens, rest_ms)

    def _record_prompt(self, now: float, facts: i.RequestArrived, uncached: float) -> None:
        """Record a request; `uncached` below 0 is unknown and replaced by the mean of earlier ones."""
        notes = self._pools.recorder
        if uncached < 0.0:
            uncached = notes.expected_unread(facts.cls, facts.tenant, facts.prompt_tokens)
        notes.record_request(now, facts.cls, facts.tenant, facts.prompt_tokens, uncached)
