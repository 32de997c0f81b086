"""Checks the guarantees that a router gives clients and engines against what both of them recorded. Pure.

All times are seconds on one clock (`time.monotonic` is shared by all processes of a machine), taken on the
peers' side: when a byte was handed to the peer's kernel, or when the peer's kernel received it. Each check
takes a record and returns the violations of one term. Nothing here depends on the router's code.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from math import inf, sqrt

from msgspec import Struct

ANSWER_SLACK_S = 0.15  # after the deadline: 20 ms by the rules, 50 ms for sockets, the rest for both kernels
FORWARD_SLACK_S = 0.1  # between a client's disconnect or response and the start of the last attempt for it
TIME_LEFT_SLACK_S = 0.15  # by which the time left sent to an engine may exceed what the client has left
DRAIN_TIME_S = 4.0  # after an operator's drain call no connection is idle, and no request is held that
ADMITTED_AFTER_DRAIN_S = 2.0  # was sent later than this after the call
REFUSAL_TIME_S = 0.5  # a later request may be held this long, to be refused by this router
SIGTERM_TIME_S = 0.7  # after SIGTERM; a SIGKILL excuses no request that came later,
IN_TRANSIT_S = 0.1  # unless it came this shortly before the SIGKILL
SMALL_BUDGET_CALLS = 30.0  # calls; below this budget, random variation is allowed a larger margin
CLIENT_ERROR_STATUSES = frozenset(range(400, 500)) - {429}  # statuses; 429 declines, as 503 does
NOTIFIED_SHARE = 2.0 / 3.0  # of the work at an overloaded engine came from routers notified of its start


class StreamEvent(Struct, frozen=True):
    """One event of a stream: the request and attempt that it belongs to, and its position in the stream."""

    id: str
    attempt: str
    place: int


class ClientRequest(Struct, frozen=True, kw_only=True):
    """One request as its client saw it."""

    id: str
    sent_at: float  # when its last byte was handed to the kernel
    left_s: float  # how long the client waits for the first byte of a response
    digest: str = ""  # of its body
    status: int = 0  # of the final response; 0: none began
    whole: bool = False  # the response is complete
    first_at: float = 0.0  # when its first byte was received
    answered_at: float = 0.0  # when its last byte was received
    words: tuple[StreamEvent, ...] = ()  # events of a stream
    length: int = 0  # events in the complete stream


class Connection(Struct, frozen=True, kw_only=True):
    """A client's connection to a router, with its requests in order."""

    router: str
    requests: tuple[ClientRequest, ...]
    opened_at: float = 0.0
    closed_at: float = inf  # the client closed, reset or half-closed it
    ended: str = ""  # how the router ended it: `eof`, `reset`; empty if it did not
    ended_at: float = inf
    answers_too_many: int = 0  # responses, complete or begun, beyond the number of requests
    malformed_from: int = -1  # index of the first malformed request, which need not be answered; -1: none


class EngineRequest(Struct, frozen=True, kw_only=True):
    """One attempt as an engine received it."""

    engine: str
    started_at: float  # of this process of the engine
    router: str
    id: str
    first_at: float  # when its first byte was received
    last_at: float  # when its last byte was received
    left_ms: float  # the time left in its header; negative: none
    work: float = 1.0  # in requests of mean work
    digest: str = ""
    end: str = "whole"  # of its response: `whole`, `turned away`, `error`, `broken` (by the engine), `left`


class StartNotice(Struct, frozen=True, kw_only=True):
    """A router was notified of an engine's start."""

    router: str
    engine: str
    started_at: float
    at: float


class RouterKill(Struct, frozen=True, kw_only=True):
    """A router's process was killed, with or without a SIGTERM before."""

    router: str
    at: float
    told_at: float = inf  # when it got SIGTERM


class ManualDrain(Struct, frozen=True, kw_only=True):
    """An operator drained a router, until it was activated again."""

    router: str
    at: float
    until: float = inf


class CpuStarvation(Struct, frozen=True, kw_only=True):
    """How long within a span a router's process was runnable but had no processor."""

    router: str
    begin: float
    end: float
    seconds: float


class SlowStartSettings(Struct, frozen=True, kw_only=True):
    """The settings that the slow-start check uses."""

    overload_factor: float
    cold_from: float
    cold_ms: float
    tip_after_ms: float
    per_s: float  # requests of mean work that a warm engine does in a second


class Violation(Struct, frozen=True):
    """One violation of a term."""

    term: str
    id: str  # of the request or the engine
    message: str


class Record(Struct, frozen=True, kw_only=True):
    """Everything that was recorded in one run."""

    connections: tuple[Connection, ...] = ()
    arrivals: tuple[EngineRequest, ...] = ()
    told: tuple[StartNotice, ...] = ()
    deaths: tuple[RouterKill, ...] = ()
    terms: SlowStartSettings | None = None  # None: engines have unlimited capacity
    starved: tuple[CpuStarvation, ...] = ()
    drains: tuple[ManualDrain, ...] = ()
    resumes: bool = False  # clients request the rest of an interrupted stream


def excused_by_kill(record: Record, router: str, sent_at: float, end: float) -> bool:
    """Whether a kill of the router's process excuses this request.

    After SIGTERM it excuses no request sent later than SIGTERM_TIME_S, except those in transit at the kill.
    """
    return any(
        one.router == router
        and sent_at - ANSWER_SLACK_S <= one.at <= end
        and not one.told_at + SIGTERM_TIME_S < sent_at < one.at - IN_TRANSIT_S
        for one in record.deaths
    )


def starved(record: Record, router: str, begin: float, end: float) -> float:
    """Total seconds for which a router's process had no processor, over spans that overlap this time."""
    spans = (one for one in record.starved if one.router == router and one.begin < end and one.end > begin)
    return sum(one.seconds for one in spans)


def check_answered(record: Record) -> list[Violation]:
    """Every request gets one complete final response by its deadline, unless its client disconnects first.

    Exempt are requests whose router was killed; streams that the engine interrupted, or any interrupted
    stream where clients request the rest; and requests that were in transit, unread, when the router closed
    the connection between two requests: the kernel signals that by a reset, and no byte of a response came.
    The first request on a connection can't be in that position.
    Responses come in the order of requests: a pipelined request is due when its predecessor is answered,
    if that is later, and no response is due behind an interrupted stream. A response may be later by as long
    as its router's process was runnable without a processor.
    """
    broken = {one.id for one in record.arrivals if one.end == "broken"}
    found: list[Violation] = []
    for connection in record.connections:
        for index, request in enumerate(connection.requests):
            if connection.malformed_from == index:
                break
            fault = _answer_fault(record, connection, index, request, broken)
            if fault:
                found.append(Violation("answered", request.id, f"{connection.router}: {fault}"))
    return found


def _answer_fault(
    record: Record, connection: Connection, place: int, request: ClientRequest, broken: set[str]
) -> str:
    before = connection.requests[:place]
    interrupted = (one for one in before if one.status == 200 and not one.whole)
    if any(one.id in broken or record.resumes for one in interrupted):
        return ""  # the stream was interrupted, and its connection had to close with it
    due = max([request.sent_at + request.left_s, *(one.answered_at for one in before)]) + ANSWER_SLACK_S
    until = min(request.answered_at or inf, connection.ended_at)
    if request.whole:
        if request.status in CLIENT_ERROR_STATUSES and connection.malformed_from < 0:
            return f"answered {request.status} to a valid request"
        # A stream meets its deadline with its first byte, any other response with its last.
        at = request.first_at if request.status == 200 else request.answered_at
        due += starved(record, connection.router, request.sent_at, at) if at > due else 0.0
        if at <= due or connection.closed_at <= due:
            return ""
        return f"answered {request.status} {at - due:.3f} s after its deadline and slack"
    if excused_by_kill(record, connection.router, request.sent_at, until):
        return ""
    if request.status:
        if connection.closed_at < inf and connection.closed_at <= connection.ended_at:
            return ""
        if request.status == 200 and (request.id in broken or record.resumes):
            return "" if connection.ended else "its stream was interrupted, but its connection was left open"
        return f"a response with {request.status} began and never ended ({connection.ended or 'open'})"
    if connection.closed_at <= min(due, connection.ended_at):
        return ""
    if connection.ended == "reset" and place:
        return ""
    if connection.ended_at < due:
        return (
            f"no response: {connection.ended} {connection.ended_at - request.sent_at:.3f} s after it was sent"
        )
    return f"no response within {request.left_s:.3f} s"


def check_matched(record: Record) -> list[Violation]:
    """No response to another request, no events changed, missing or mixed, and no second response."""
    found = []
    for connection in record.connections:
        if connection.answers_too_many:
            last = connection.requests[-1].id if connection.requests else ""
            message = f"{connection.router}: {connection.answers_too_many} responses without a request"
            found.append(Violation("matched", last, message))
        for request in connection.requests:
            if fault := _mismatch(request):
                found.append(Violation("matched", request.id, f"{connection.router}: {fault}"))
    return found


def _mismatch(request: ClientRequest) -> str:
    others = {word.id for word in request.words} - {request.id}
    if others:
        return f"events of {', '.join(sorted(others))}"
    if len({word.attempt for word in request.words}) > 1:
        return "events of two attempts"
    if [word.place for word in request.words] != list(range(len(request.words))):
        return f"events {[word.place for word in request.words]}"
    if request.whole and request.status == 200 and len(request.words) != request.length:
        return f"{len(request.words)} events of {request.length} in a complete stream"
    return ""


def check_bodies(record: Record) -> list[Violation]:
    """Engines receive only requests that a client sent, with the body unchanged."""
    digests = {request.id: request.digest for one in record.connections for request in one.requests}
    found = []
    for one in record.arrivals:
        if one.id not in digests:
            found.append(Violation("known", one.id, f"{one.engine}: no client sent it ({one.router})"))
        elif one.digest != digests[one.id]:
            found.append(Violation("known", one.id, f"{one.engine}: the body differs ({one.router})"))
    return found


def check_forwarded(record: Record) -> list[Violation]:
    """No attempt begins over FORWARD_SLACK_S after its client disconnected or its response began."""
    end_by_id: dict[str, tuple[float, str]] = {}
    for connection in record.connections:
        for request in connection.requests:
            ends = [(connection.closed_at, "its client disconnected")]
            if request.status:
                ends.append((request.first_at, f"its response, {request.status}, began"))
            end_by_id[request.id] = min(ends)
    found = []
    for one in record.arrivals:
        at, reason = end_by_id.get(one.id, (inf, ""))
        if one.first_at > at + FORWARD_SLACK_S:
            message = (
                f"{one.engine}: an attempt of {one.router} began {one.first_at - at:.3f} s after {reason}"
            )
            found.append(Violation("forwarded", one.id, message))
    return found


def check_time_left(record: Record) -> list[Violation]:
    """No engine is given more time than the client has left at the attempt's first byte."""
    dues = {a.id: a.sent_at + a.left_s for one in record.connections for a in one.requests}
    found = []
    for one in record.arrivals:
        left = dues.get(one.id, inf) - one.first_at
        if one.left_ms / 1000.0 > left + TIME_LEFT_SLACK_S:
            message = f"{one.engine}: given {one.left_ms:.0f} ms, the client has {left * 1000:.0f} ms left"
            found.append(Violation("time_left", one.id, message))
    return found


def max_work(budget: float) -> float:
    """The most work, in requests of mean work, that an engine in slow start may get on a budget of N."""
    root = sqrt(budget)
    return budget + (2.0 * root + 2.0 if budget >= SMALL_BUDGET_CALLS else 3.0 * root + 3.0)


def check_slow_start(record: Record) -> list[Violation]:
    """In each span of `tip_after_ms`, all routers together keep to the limit of an engine in slow start.

    Reports one violation for each process of an engine: its worst span. A span counts if two thirds of its
    work came from routers that were notified of the engine's start.
    """
    if record.terms is None:
        return []
    processes: dict[tuple[str, float], list[EngineRequest]] = defaultdict(list)
    for one in sorted(record.arrivals, key=lambda one: one.last_at):
        processes[one.engine, one.started_at].append(one)
    notified_at = {(one.router, one.engine, one.started_at): one.at for one in record.told}
    found = []
    for (engine, started_at), arrivals in processes.items():
        if started_at > 0.0:  # 0: it started before the run
            found += _worst_span(record.terms, engine, started_at, arrivals, notified_at)
    return found


def _worst_span(
    terms: SlowStartSettings,
    engine: str,
    started_at: float,
    arrivals: Sequence[EngineRequest],
    notified_at: dict[tuple[str, str, float], float],
) -> list[Violation]:
    span, first, worst = terms.tip_after_ms / 1000.0, 0, (0.0, "")
    for index, newest in enumerate(arrivals):
        age = newest.last_at - started_at
        if age >= terms.cold_ms / 1000.0:
            break
        while arrivals[first].last_at <= newest.last_at - span:
            first += 1
        within = arrivals[first : index + 1]
        work = sum(one.work for one in within)
        notified_work = sum(
            one.work
            for one in within
            if notified_at.get((one.router, engine, started_at), inf) <= one.last_at
        )
        capacity_share = terms.cold_from + (1.0 - terms.cold_from) * max(0.0, age) / (terms.cold_ms / 1000.0)
        budget = terms.overload_factor * terms.per_s * capacity_share * span
        excess = work / max_work(budget)
        if excess > max(1.0, worst[0]) and notified_work >= NOTIFIED_SHARE * work:
            message = (
                f"{work:.1f} in {span:g} s at age {age:.2f} s, N {budget:.1f}, limit {max_work(budget):.1f}"
            )
            worst = excess, f"{message}, notified {notified_work / work:.2f}, of {_routers(within)}"
    return [Violation("slow_start", engine, worst[1])] if worst[1] else []


def _routers(arrivals: Iterable[EngineRequest]) -> str:
    return f"{len({one.router for one in arrivals})} routers"


def check_drained(record: Record) -> list[Violation]:
    """From DRAIN_TIME_S after an operator's drain call a router holds no idle connection and no new request.

    What arrives later may be held for REFUSAL_TIME_S, and for as long as the router had no processor.
    """
    return [
        violation
        for drain in record.drains
        for connection in record.connections
        if connection.router == drain.router
        for violation in _drain_violations(record, drain, connection)
    ]


def _drain_violations(record: Record, drain: ManualDrain, connection: Connection) -> list[Violation]:
    due, end = drain.at + DRAIN_TIME_S, min(connection.ended_at, connection.closed_at)
    found, idle_since, last = [], connection.opened_at, ""
    # Pipelined requests wait for their predecessors, so the time between them is not idle.
    for request in connection.requests:
        found += _idle_violations(record, drain, connection, (idle_since, request.sent_at), last)
        answered_at = request.answered_at if request.whole else end
        held_from = max(due, request.sent_at + REFUSAL_TIME_S)
        held_to = min(answered_at, end, drain.until)
        held_to -= starved(record, drain.router, request.sent_at, held_to)
        if request.sent_at > drain.at + ADMITTED_AFTER_DRAIN_S and held_to > held_from:
            message = (
                f"{drain.router}: sent {request.sent_at - drain.at:.2f} s after the call,"
                f" held until {held_to - drain.at:.2f} s"
            )
            found.append(Violation("drained", request.id, message))
        idle_since, last = max(idle_since, answered_at), request.id
    return found + _idle_violations(record, drain, connection, (idle_since, inf), last)


def _idle_violations(
    record: Record, drain: ManualDrain, connection: Connection, span: tuple[float, float], last: str
) -> list[Violation]:
    begin, end = span[0], min(span[1], connection.ended_at, connection.closed_at, drain.until)
    late = end - max(drain.at + DRAIN_TIME_S, begin + REFUSAL_TIME_S)
    if late <= 0 or late <= starved(record, drain.router, max(begin, drain.at), end):
        return []
    message = (
        f"{drain.router}: idle {begin - drain.at:.2f} to {end - drain.at:.2f} s after the call"
        f" (opened {connection.opened_at - drain.at:.2f})"
    )
    return [Violation("drained", last, message)]


CHECKS = (
    check_answered,
    check_matched,
    check_bodies,
    check_forwarded,
    check_time_left,
    check_slow_start,
    check_drained,
)


def check(record: Record) -> list[Violation]:
    """Check all terms."""
    return [violation for check_term in CHECKS for violation in check_term(record)]
