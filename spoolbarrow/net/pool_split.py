"""The pool's split on the sockets: requests are noted, and what is decided is told; it steers nothing.

Owns the adapter between a host and `spoolbarrow.pools`, a part of the fleet's decisions: an observer of the
taps that notes prompts, answers, paces and reports, bounded (`MAX_TRACKED_REQUESTS` requests, `TAIL` bytes of each), and
what operators are told of the split. It may neither wait nor raise into serving. A decision is made in the
follower's own greenlet, which gives way to serving between its pieces; that and every word to the store are
the follower's. The decisions about requests do not use the split.
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

MAX_TRACKED_REQUESTS = 20_000  # requests followed at a time; one beyond is not noted
TAIL = 1024  # bytes kept of a stream's end, where it tells its usage
MOST_TYPE = 64  # characters of an engine type's name
MOST_TOKENS = 1e6  # an answer that tells more tells nothing
DECIDE_MS = 2000.0  # between decisions
GIVE_WAY_S = 0.0005  # a decision's pause: less would let the loop's other callbacks go first, and no socket
CUT = frozenset({"left", "moved", "given", "broken"})  # answers that may have begun, and did not end here


class Usage(msgspec.Struct):
    """What the last event of a stream tells, as far as it is read here."""

    class Details(msgspec.Struct):
        """Of the prompt."""

        cached_tokens: int = 0

    completion_tokens: int = 0
    prompt_tokens_details: Details | None = None


class _Event(msgspec.Struct):
    usage: Usage | None = None


_event = msgspec.json.Decoder(_Event)


class _Open:
    """A request that is under way."""

    __slots__ = ("events", "facts", "tail")

    def __init__(self, facts: i.RequestArrived) -> None:
        self.facts = facts
        self.events = 0  # of the stream: tokens, where no usage tells better
        self.tail = b""


def parse_usage(tail: bytes) -> Usage | None:
    """The usage at a stream's end; None where it tells none that can be."""
    at = tail.rfind(b'"usage"')
    start = tail.rfind(b"data:", 0, at) if at >= 0 else -1
    if start < 0:
        return None
    try:
        found = _event.decode(tail[start + 5 :].partition(b"\n")[0]).usage
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return found if found is not None and 0 <= found.completion_tokens <= MOST_TOKENS else None


class PoolSplit(Observer):
    """The part, as the follower has it; `watch` gives it its host."""

    kind = "pools"

    def __init__(self, name: str) -> None:
        self._pools = Pools(0.0, ())
        self._host: Host | None = None
        self._only: dict[str, str] = {}  # by engine type
        self._named: object = None  # classes and tenants by which the notes count
        self._config: object = None  # as it was last looked at
        self._listing: object = None  # of which the engines are
        self._tracked: dict[str, _Open] = {}
        self._decided_at = -1e18
        self._decisions = 0  # made here
        self._decided: dict[str, object] | None = None  # of the last of them
        self._plan: split.Plan | None = None  # as it was last adopted, one without a split as well
        self.untracked = 0  # requests beyond MAX_TRACKED_REQUESTS

    # The follower's side

    def watch(self, host: Host, table: FleetTable) -> None:
        """Hear the host's taps from now on; again, with new settings: what was noted stays."""
        self._only = dict.fromkeys(table.only_read, "read") | dict.fromkeys(table.only_write, "write")
        if self._host is None:
            self._host = host
            host.observers.add(self)
        self._look(host)

    def end(self) -> None:
        """Hear nothing more."""
        if self._host is not None:
            self._host.observers.remove(self)
        self._host = None
        self._tracked.clear()

    def summary(self, now: float) -> bytes:
        """What this router has seen."""
        if self._host is not None:
            self._look(self._host)
        return self._pools.summary(now)

    def decide(self, now: float, bodies: Sequence[bytes], last: bytes | None) -> bytes | None:
        """The pure part's decision, every DECIDE_MS at most: its figures move no faster."""
        if self._host is None or 0.0 <= now - self._decided_at < DECIDE_MS:
            return None
        self._decided_at = now
        self._look(self._host)
        # Of its own: while it gives way, the list may change, and one decision must be of one list.
        judge = Pools(now, self._pools.classes, self._pools.portions, self._give_way)
        judge.set_engines(self._pools.engines)
        made = judge.decide(now, bodies, last)
        self._decisions += 1
        # Meanwhile it may have been ended.
        took_ms = round(self._host.now() - now) if self._host is not None else 0
        self._decided = {"number": self._decisions, "summaries": len(bodies), "took_ms": took_ms}
        return made

    def adopt(self, now: float, body: bytes | None) -> bool:
        """Tell this split from now on, or none."""
        old, adopted = self._pools.plan, self._pools.adopt(now, body)
        self._plan = split.decode_plan(body) if adopted else None
        new = self._pools.plan
        if (old and old.prefill_engines) != (new and new.prefill_engines):
            why = self._plan.reason if self._plan is not None else "no decision stands"
            readers = len(new.prefill_engines) if new else 0
            log("fleet_split", readers=readers, engines=len(self._pools.engines), why=why)
        return adopted

    def status(self) -> dict[str, object]:
        """The split that stands, or why there is none, and this router's own evidence."""
        pools, plan, seen = self._pools, self._plan, self._pools.recorder.stats
        stands = None
        if pools.plan is not None:
            names = sorted(self._host.config.classes.items(), key=lambda one: one[1]) if self._host else []
            limits = pools.plan.prefill_min_tokens
            stands = {
                "readers": pools.plan.prefill_engines, "since_ms": round(pools.plan.since_ms),
                "reads_from": {name: limits[n] for name, n in names
                               if n < len(limits) and limits[n] != split.NEVER_PREFILL},
                "late_without": round(pools.plan.unsplit_loss, 4), "late_with": round(pools.plan.split_loss, 4),
            }  # fmt: skip
        cells = list(seen.cells.values())
        return {
            "split": stands, "why": "no decision stands" if plan is None else plan.reason,
            "wanted": None if plan is None or not any(plan.wanted) else list(plan.wanted),
            "decided": self._decided,
            "own": {
                "asked": round(sum(cell.weight() for cell in cells), 1),
                "answered": round(sum(cell.answered for cell in cells), 1),
                "late": round(sum(cell.late for cell in cells), 1),
                "types": sorted(seen.speeds), "open": len(self._tracked), "unnoted": self.untracked,
            },
        }  # fmt: skip

    @staticmethod
    def _give_way() -> None:
        gevent.sleep(GIVE_WAY_S)

    def _look(self, host: Host) -> None:
        """The host's settings and list as they are now."""
        config, pools = host.config, self._pools
        self._config = config
        named = (config.settings.classes, config.classes, config.tenants)
        if named != self._named:  # numbers stand for others now: what was noted by them says nothing
            self._named, pools.recorder = named, TrafficRecorder(host.now())
        pools.classes = config.settings.classes
        total = sum(tenant.portion for tenant in config.settings.tenants)
        pools.portions = [tenant.portion / total for tenant in config.settings.tenants] if total > 0.0 else []
        self._listing = host.destinations.listing()
        pools.set_engines({
            line.name: Engine(
                line.type[:MOST_TYPE], config.zones.get(line.zone, config.settings.zone),
                host.destinations.starting(line.name), self._only.get(line.type, ""),
            )
            for line in host.destinations.seen()[1] if host.destinations.serving(line.name)
        })  # fmt: skip

    def _type(self, endpoint: str) -> str | None:
        """An engine's type; None: it is not in service."""
        host = self._host
        if host is not None and host.destinations.listing() is not self._listing:
            self._look(host)
        engine = self._pools.engines.get(endpoint)
        return engine.engine_type if engine is not None else None

    # The taps' side

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """Followed from here on, if its prompt is told: that of a stream taken over from a process is not."""
        if facts.prompt_tokens <= 0:
            return
        if len(self._tracked) >= MAX_TRACKED_REQUESTS:
            self.untracked += 1
            return
        self._tracked[request.key] = _Open(facts)

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Events are counted, and the end kept."""
        one = self._tracked.get(request.key)
        if one is not None:
            for part in parts:
                one.events += part.count(b"data:")
            one.tail = (one.tail + b"".join(parts)[-TAIL:])[-TAIL:]

    def request_answered(self, request: Request) -> None:
        """Noted, whatever became of it; not where its numbers stand for other classes or tenants by now."""
        one = self._tracked.pop(request.key, None)
        if one is None or self._host is None:
            return
        if self._host.config is not self._config:
            self._look(self._host)
        taken, settings = one.facts.settings, self._host.config.settings
        if taken is not None and taken is not settings and not taken.numbers_alike(settings):
            return
        now, stream = self._host.now(), request.serving_attempt
        if request.answer_kind == "served" and stream is not None:
            self._served(now, request, one, stream)
        elif request.answer_kind in CUT:
            late = request.answer_kind == "broken" or stream is None
            self._asked(now, one.facts, -1.0)
            self._pools.recorder.record_answer(
                now, one.facts.cls, one.facts.tenant, one.events if stream is not None else 0, False, late
            )
        elif request.answer_kind != "rejected":  # that is its client's fault
            self._pools.recorder.record_answer(now, one.facts.cls, one.facts.tenant, 0, False, True)

    def request_over(self, request: Request, now: float) -> None:
        """Guards the table: whatever ends here is followed no more."""
        self._tracked.pop(request.key, None)

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """How full an engine is."""
        kind = self._type(endpoint)
        if self._host is not None and kind is not None:
            self._pools.recorder.record_load(self._host.now(), kind, report.busy_share, report.memory_share)

    def _served(self, now: float, request: Request, one: _Open, stream: Attempt) -> None:
        facts, notes, told = one.facts, self._pools.recorder, parse_usage(one.tail)
        kept = told.prompt_tokens_details if told is not None else None
        tokens = told.completion_tokens if told is not None and told.completion_tokens else one.events
        unread = max(0.0, float(facts.prompt_tokens - (kept.cached_tokens if kept is not None else 0)))
        self._asked(now, facts, unread)
        cls, rest_ms = self._pools.classes[facts.cls], now - stream.first_at
        slow = tokens > 1 and 0.0 < cls.token_aim_ms < rest_ms / (tokens - 1)
        late = slow or stream.first_at - request.taken_at > cls.aim(facts.prompt_tokens)
        notes.record_answer(now, facts.cls, facts.tenant, tokens, True, late)
        kind = self._type(stream.endpoint)
        if kind is not None:
            notes.record_timing(now, kind, unread, stream.first_at - stream.sent_at, tokens, rest_ms)

    def _asked(self, now: float, facts: i.RequestArrived, unread: float) -> None:
        """Below 0 unread: it is not known, and taken as the mean of those before."""
        notes = self._pools.recorder
        if unread < 0.0:
            unread = notes.expected_unread(facts.cls, facts.tenant, facts.prompt_tokens)
        notes.record_request(now, facts.cls, facts.tenant, facts.prompt_tokens, unread)
