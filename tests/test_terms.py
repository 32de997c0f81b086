"""Tests the checks of `tests/terms.py` on records that narrowly satisfy and narrowly violate each term."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest
from msgspec.structs import replace

from tests.terms import (
    ANSWER_SLACK_S,
    FORWARD_SLACK_S,
    TIME_LEFT_SLACK_S,
    ClientRequest,
    Connection,
    CpuStarvation,
    EngineRequest,
    Record,
    RouterKill,
    SlowStartSettings,
    StartNotice,
    StreamEvent,
    check,
    check_answered,
    check_bodies,
    check_forwarded,
    check_matched,
    check_slow_start,
    check_time_left,
    max_work,
)

EPSILON = 0.001
SERVED = ClientRequest(
    id="q",
    sent_at=10.0,
    left_s=5.0,
    status=200,
    whole=True,
    first_at=11.0,
    answered_at=12.0,
    words=(StreamEvent("q", "e0#1", 0), StreamEvent("q", "e0#1", 1)),
    length=2,
)
DUE_AT = SERVED.sent_at + SERVED.left_s + ANSWER_SLACK_S
NO_RESPONSE: dict[str, Any] = {"status": 0, "whole": False, "first_at": 0.0, "answered_at": 0.0, "words": ()}
PARTIAL: dict[str, Any] = {"whole": False, "answered_at": 0.0, "words": SERVED.words[:1]}
ATTEMPT = EngineRequest(
    engine="e0", started_at=0.0, router="r0", id="q", first_at=10.5, last_at=10.5, left_ms=4500.0
)


def connection(asked: ClientRequest, *before: ClientRequest, **changes: Any) -> Connection:
    return Connection(router="r0", requests=(*before, asked), **changes)


def record(*connections: Connection, **changes: Any) -> Record:
    return Record(connections=connections, **changes)


def test_a_request_served_in_time_violates_no_term() -> None:
    assert check(record(connection(SERVED), arrivals=(ATTEMPT,))) == []


@pytest.mark.parametrize(
    "late",
    [
        {"first_at": DUE_AT, "answered_at": DUE_AT + 60.0},
        {"status": 503, "first_at": DUE_AT, "answered_at": DUE_AT, "words": ()},
    ],
)
def test_a_response_must_come_by_its_deadline(late: dict[str, Any]) -> None:
    asked = replace(SERVED, **late)
    assert check_answered(record(connection(asked))) == []
    key = "first_at" if asked.status == 200 else "answered_at"
    (found,) = check_answered(record(connection(replace(asked, **{key: DUE_AT + EPSILON}))))
    assert found.id == "q" and "after its deadline" in found.message


@pytest.mark.parametrize("status", [400, 404, 409, 431])
def test_a_valid_request_gets_no_client_error(status: int) -> None:
    wrong = connection(replace(SERVED, status=status, words=()))
    assert len(check_answered(record(wrong))) == 1
    assert (
        check_answered(record(replace(wrong, malformed_from=1))) == []
    )  # malformed data behind it breaks its framing
    assert check_answered(record(connection(replace(SERVED, status=429, words=())))) == []


def test_a_response_may_be_late_by_the_time_its_router_had_no_processor() -> None:
    late = connection(replace(SERVED, first_at=DUE_AT + 0.2))
    waited = CpuStarvation(router="r0", begin=DUE_AT - 0.2, end=DUE_AT, seconds=0.2)
    assert check_answered(record(late, starved=(waited,))) == []
    for other in ({"seconds": 0.2 - EPSILON}, {"router": "r1"}, {"begin": DUE_AT + 0.3, "end": DUE_AT + 0.4}):
        assert len(check_answered(record(late, starved=(replace(waited, **other),)))) == 1


def test_a_late_response_is_no_violation_if_the_client_disconnected_in_time() -> None:
    late = connection(replace(SERVED, first_at=DUE_AT + 1.0))
    assert check_answered(record(replace(late, closed_at=DUE_AT))) == []
    assert len(check_answered(record(replace(late, closed_at=DUE_AT + EPSILON)))) == 1


def test_a_response_may_be_missing_only_if_the_client_disconnected_first() -> None:
    asked = replace(SERVED, **NO_RESPONSE)
    assert len(check_answered(record(connection(asked)))) == 1
    assert check_answered(record(connection(asked, closed_at=DUE_AT))) == []
    assert len(check_answered(record(connection(asked, closed_at=DUE_AT + EPSILON)))) == 1
    assert check_answered(record(connection(asked, closed_at=10.5, ended="eof", ended_at=10.6))) == []
    (found,) = check_answered(record(connection(asked, closed_at=10.7, ended="eof", ended_at=10.6)))
    assert "eof 0.600 s" in found.message


def test_a_request_in_transit_at_a_reset_is_exempt_unless_it_is_the_first() -> None:
    asked = replace(SERVED, **NO_RESPONSE)
    before = replace(SERVED, id="p", sent_at=8.0, first_at=8.1, answered_at=8.2, words=(), length=0)
    assert check_answered(record(connection(asked, before, ended="reset", ended_at=10.1))) == []
    assert (
        len(check_answered(record(connection(asked, before, ended="eof", ended_at=10.1)))) == 1
    )  # read, and closed
    assert len(check_answered(record(connection(asked, ended="reset", ended_at=10.1)))) == 1


def test_a_kill_exempts_the_requests_that_the_router_had() -> None:
    asked = replace(SERVED, **NO_RESPONSE)
    cut = connection(asked, ended="reset", ended_at=10.5)
    assert check_answered(record(cut, deaths=(RouterKill(router="r0", at=10.4),))) == []
    assert len(check_answered(record(cut, deaths=(RouterKill(router="r1", at=10.4),)))) == 1
    assert len(check_answered(record(cut, deaths=(RouterKill(router="r0", at=9.0),)))) == 1
    assert len(check_answered(record(cut, deaths=(RouterKill(router="r0", at=10.6),)))) == 1


def test_a_partial_response_is_a_violation_unless_its_engine_interrupted_it() -> None:
    cut = connection(replace(SERVED, **PARTIAL), ended="eof", ended_at=11.5)
    broken = replace(ATTEMPT, end="broken")
    assert check_answered(record(cut, arrivals=(broken,))) == []
    assert len(check_answered(record(cut, arrivals=(ATTEMPT,)))) == 1
    assert len(check_answered(record(cut, arrivals=(replace(broken, id="p"),)))) == 1
    assert check_answered(record(cut, arrivals=(ATTEMPT,), resumes=True)) == []
    left_open = replace(cut, ended="", ended_at=inf)
    assert len(check_answered(record(left_open, arrivals=(ATTEMPT,), resumes=True))) == 1
    assert len(check_answered(record(left_open, arrivals=(broken,)))) == 1
    assert check_answered(record(replace(cut, closed_at=11.4))) == []


def test_a_pipelined_request_is_due_when_its_predecessor_has_its_response() -> None:
    first = replace(SERVED, id="p", answered_at=DUE_AT + 1.0)
    late = DUE_AT + 1.0 + ANSWER_SLACK_S
    second = replace(SERVED, status=504, words=(), first_at=late, answered_at=late)
    assert check_answered(record(connection(second, first))) == []
    assert len(check_answered(record(connection(replace(second, answered_at=late + EPSILON), first)))) == 1


def test_no_response_is_due_behind_a_stream_that_its_engine_interrupted() -> None:
    cut = replace(SERVED, id="p", **{**PARTIAL, "words": ()})
    cut_off = connection(replace(SERVED, **NO_RESPONSE), cut, ended="eof", ended_at=11.5)
    assert check_answered(record(cut_off, arrivals=(replace(ATTEMPT, id="p", end="broken"),))) == []
    assert len(check_answered(record(cut_off, arrivals=(replace(ATTEMPT, id="p"),)))) == 2


def test_no_response_is_due_for_a_malformed_request_or_behind_it() -> None:
    asked = replace(SERVED, **NO_RESPONSE)
    assert check_answered(record(connection(asked, SERVED, malformed_from=1))) == []
    assert len(check_answered(record(connection(asked, SERVED, malformed_from=2)))) == 1


@pytest.mark.parametrize(
    "words",
    [
        (StreamEvent("q", "e0#1", 0), StreamEvent("p", "e0#1", 1)),  # another request's
        (StreamEvent("q", "e0#1", 0), StreamEvent("q", "e1#1", 1)),  # two attempts'
        (StreamEvent("q", "e0#1", 0), StreamEvent("q", "e0#1", 0)),  # one event twice
        (StreamEvent("q", "e0#1", 0),),  # one event missing
    ],
)
def test_a_response_has_the_events_of_one_attempt_for_its_request(words: tuple[StreamEvent, ...]) -> None:
    assert check_matched(record(connection(SERVED))) == []
    assert len(check_matched(record(connection(replace(SERVED, words=words))))) == 1


def test_a_partial_response_may_lack_only_its_end() -> None:
    half = replace(SERVED, **PARTIAL)
    assert check_matched(record(connection(half))) == []
    assert len(check_matched(record(connection(replace(half, words=SERVED.words[1:]))))) == 1


def test_a_second_response_is_a_violation() -> None:
    assert len(check_matched(record(connection(SERVED, answers_too_many=1)))) == 1


def test_an_engine_receives_only_what_a_client_sent() -> None:
    asked, sent = replace(SERVED, digest="1f"), replace(ATTEMPT, digest="1f")
    assert check_bodies(record(connection(asked), arrivals=(sent,))) == []
    assert len(check_bodies(record(connection(asked), arrivals=(replace(sent, id="p"),)))) == 1
    assert len(check_bodies(record(connection(asked), arrivals=(replace(sent, digest="1e"),)))) == 1


def test_no_attempt_begins_after_its_client_disconnected() -> None:
    disconnected = connection(replace(SERVED, **NO_RESPONSE), closed_at=10.4)
    in_time = replace(ATTEMPT, first_at=10.4 + FORWARD_SLACK_S)
    assert check_forwarded(record(disconnected, arrivals=(in_time,))) == []
    (found,) = check_forwarded(
        record(disconnected, arrivals=(replace(in_time, first_at=in_time.first_at + EPSILON),))
    )
    assert "disconnected" in found.message


@pytest.mark.parametrize("status", [200, 503, 504])
def test_no_attempt_begins_after_its_response_began(status: int) -> None:
    asked = connection(replace(SERVED, status=status))
    in_time = replace(ATTEMPT, first_at=SERVED.first_at + FORWARD_SLACK_S)
    assert check_forwarded(record(asked, arrivals=(in_time,))) == []
    late = replace(in_time, first_at=in_time.first_at + EPSILON)
    assert len(check_forwarded(record(asked, arrivals=(ATTEMPT, late)))) == 1


def test_an_engine_is_given_the_time_that_the_client_has_left() -> None:
    most = (SERVED.sent_at + SERVED.left_s - ATTEMPT.first_at + TIME_LEFT_SLACK_S) * 1000.0
    assert check_time_left(record(connection(SERVED), arrivals=(replace(ATTEMPT, left_ms=most - 1.0),))) == []
    assert (
        len(check_time_left(record(connection(SERVED), arrivals=(replace(ATTEMPT, left_ms=most + 1.0),))))
        == 1
    )


def test_the_work_limit_follows_from_the_budget() -> None:
    assert max_work(36.0) == 36.0 + 12.0 + 2.0
    assert max_work(30.0) == pytest.approx(30.0 + 2.0 * 30.0**0.5 + 2.0)
    assert max_work(25.0) == 25.0 + 15.0 + 3.0


COLD = SlowStartSettings(
    overload_factor=2.0, cold_from=0.25, cold_ms=10_000.0, tip_after_ms=2000.0, per_s=40.0
)
STARTED_AT = 100.0


def sent(times: list[float], routers: int = 2, **changes: Any) -> tuple[EngineRequest, ...]:
    return tuple(
        EngineRequest(
            engine="e0",
            started_at=STARTED_AT,
            router=f"r{n % routers}",
            id=f"q{n}",
            first_at=STARTED_AT + at,
            last_at=STARTED_AT + at,
            left_ms=1000.0,
            **changes,
        )
        for n, at in enumerate(times)
    )


def told(*routers: str) -> tuple[StartNotice, ...]:
    return tuple(
        StartNotice(router=one, engine="e0", started_at=STARTED_AT, at=STARTED_AT) for one in routers
    )


def slow_start_record(arrivals: tuple[EngineRequest, ...], *routers: str) -> Record:
    return Record(arrivals=arrivals, told=told(*(routers or ("r0", "r1"))), terms=COLD)


def test_all_routers_together_keep_to_the_limit_of_an_engine_in_slow_start() -> None:
    most = int(max_work(40.0))  # 2 x 40 x 0.25 x 2 s
    assert most == 54
    assert check_slow_start(slow_start_record(sent([0.0] * most))) == []
    (found,) = check_slow_start(slow_start_record(sent([0.0] * (most + 1))))
    assert found.id == "e0" and "2 routers" in found.message


def test_the_span_is_sliding_and_uses_the_capacity_at_its_end() -> None:
    most = int(max_work(40.0))
    assert check_slow_start(slow_start_record(sent([0.0] * most + [2.0]))) == []
    later = int(max_work(2.0 * 40.0 * 0.625 * 2.0))  # half way through slow start
    assert (
        check_slow_start(slow_start_record(sent([4.0] * (later // 2) + [5.0] * (later - later // 2)))) == []
    )
    assert (
        len(
            check_slow_start(slow_start_record(sent([4.0] * (later // 2) + [5.0] * (later - later // 2 + 1))))
        )
        == 1
    )


def test_the_limit_counts_work_not_calls() -> None:
    most = max_work(40.0)
    assert check_slow_start(slow_start_record(sent([0.0] * 10, work=most / 10 - EPSILON))) == []
    assert len(check_slow_start(slow_start_record(sent([0.0] * 10, work=most / 10 + EPSILON)))) == 1


def test_a_warm_engine_has_no_limit() -> None:
    assert check_slow_start(slow_start_record(sent([10.0] * 500))) == []
    assert len(check_slow_start(slow_start_record(sent([10.0 - EPSILON] * 500)))) == 1
    long_ago = tuple(replace(one, started_at=0.0) for one in sent([0.0] * 500))
    assert check_slow_start(slow_start_record(long_ago)) == []


def test_a_span_counts_if_two_thirds_of_its_work_came_from_notified_routers() -> None:
    burst = sent([0.0] * 300, routers=3)
    assert len(check_slow_start(slow_start_record(burst, "r0", "r1"))) == 1
    assert check_slow_start(slow_start_record(burst, "r0")) == []
    later = tuple(replace(one, at=STARTED_AT + 0.5) for one in told("r0", "r1"))
    assert check_slow_start(Record(arrivals=burst, told=later, terms=COLD)) == []
