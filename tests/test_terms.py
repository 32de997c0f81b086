"""The checker itself: records made by hand that keep each term by a little, and break it by a little."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest
from msgspec.structs import replace

from tests.terms import (
    ANSWER_SLACK_S,
    GONE_SLACK_S,
    TOLD_SLACK_S,
    Arrival,
    Asked,
    Connection,
    Death,
    Record,
    Starved,
    Terms,
    Told,
    Word,
    answered,
    bears,
    check,
    forwarded,
    known,
    matched,
    slow_start,
    time_left,
)

A_LITTLE = 0.001
SERVED = Asked(
    id="q",
    sent_at=10.0,
    left_s=5.0,
    status=200,
    whole=True,
    first_at=11.0,
    answered_at=12.0,
    words=(Word("q", "e0#1", 0), Word("q", "e0#1", 1)),
    length=2,
)
DUE = SERVED.sent_at + SERVED.left_s + ANSWER_SLACK_S
NOTHING: dict[str, Any] = {"status": 0, "whole": False, "first_at": 0.0, "answered_at": 0.0, "words": ()}
HALF: dict[str, Any] = {"whole": False, "answered_at": 0.0, "words": SERVED.words[:1]}
SENT = Arrival(engine="e0", started_at=0.0, router="r0", id="q", first_at=10.5, last_at=10.5, left_ms=4500.0)


def on(asked: Asked, *before: Asked, **changes: Any) -> Connection:
    return Connection(router="r0", requests=(*before, asked), **changes)


def record(*connections: Connection, **changes: Any) -> Record:
    return Record(connections=connections, **changes)


def test_a_request_served_in_time_breaks_no_term() -> None:
    assert check(record(on(SERVED), arrivals=(SENT,))) == []


@pytest.mark.parametrize(
    "late",
    [
        {"first_at": DUE, "answered_at": DUE + 60.0},
        {"status": 503, "first_at": DUE, "answered_at": DUE, "words": ()},
    ],
)
def test_an_answer_counts_until_its_deadline_and_no_longer(late: dict[str, Any]) -> None:
    asked = replace(SERVED, **late)
    assert answered(record(on(asked))) == []
    key = "first_at" if asked.status == 200 else "answered_at"
    (found,) = answered(record(on(replace(asked, **{key: DUE + A_LITTLE}))))
    assert found.id == "q" and "after its deadline" in found.message


@pytest.mark.parametrize("status", [400, 404, 409, 431])
def test_a_request_that_is_well_is_not_told_that_it_is_wrong(status: int) -> None:
    wrong = on(replace(SERVED, status=status, words=()))
    assert len(answered(record(wrong))) == 1
    assert answered(record(replace(wrong, malformed_from=1))) == []  # what follows spoils its framing
    assert answered(record(on(replace(SERVED, status=429, words=())))) == []


def test_an_answer_may_be_later_by_as_long_as_its_router_had_no_processor() -> None:
    late = on(replace(SERVED, first_at=DUE + 0.2))
    waited = Starved(router="r0", begin=DUE - 0.2, end=DUE, seconds=0.2)
    assert answered(record(late, starved=(waited,))) == []
    for other in ({"seconds": 0.2 - A_LITTLE}, {"router": "r1"}, {"begin": DUE + 0.3, "end": DUE + 0.4}):
        assert len(answered(record(late, starved=(replace(waited, **other),)))) == 1


def test_an_answer_too_late_for_a_client_that_left_in_time_is_none_too_late() -> None:
    late = on(replace(SERVED, first_at=DUE + 1.0))
    assert answered(record(replace(late, closed_at=DUE))) == []
    assert len(answered(record(replace(late, closed_at=DUE + A_LITTLE)))) == 1


def test_no_answer_is_lost_but_where_the_client_left_first() -> None:
    asked = replace(SERVED, **NOTHING)
    assert len(answered(record(on(asked)))) == 1
    assert answered(record(on(asked, closed_at=DUE))) == []
    assert len(answered(record(on(asked, closed_at=DUE + A_LITTLE)))) == 1
    assert answered(record(on(asked, closed_at=10.5, ended="eof", ended_at=10.6))) == []
    (found,) = answered(record(on(asked, closed_at=10.7, ended="eof", ended_at=10.6)))
    assert "eof 0.600 s" in found.message


def test_a_request_that_crossed_its_connections_end_unread_is_none_and_a_first_one_crosses_nothing() -> None:
    asked = replace(SERVED, **NOTHING)
    before = replace(SERVED, id="p", sent_at=8.0, first_at=8.1, answered_at=8.2, words=(), length=0)
    assert answered(record(on(asked, before, ended="reset", ended_at=10.1))) == []
    assert len(answered(record(on(asked, before, ended="eof", ended_at=10.1)))) == 1  # read, and closed
    assert len(answered(record(on(asked, ended="reset", ended_at=10.1)))) == 1


def test_a_killed_router_owes_nothing_for_what_it_had_then() -> None:
    asked = replace(SERVED, **NOTHING)
    cut = on(asked, ended="reset", ended_at=10.5)
    assert answered(record(cut, deaths=(Death(router="r0", at=10.4),))) == []
    assert len(answered(record(cut, deaths=(Death(router="r1", at=10.4),)))) == 1
    assert len(answered(record(cut, deaths=(Death(router="r0", at=9.0),)))) == 1
    assert len(answered(record(cut, deaths=(Death(router="r0", at=10.6),)))) == 1


def test_an_answer_cut_short_is_lost_but_where_its_engine_broke_it() -> None:
    cut = on(replace(SERVED, **HALF), ended="eof", ended_at=11.5)
    broken = replace(SENT, end="broken")
    assert answered(record(cut, arrivals=(broken,))) == []
    assert len(answered(record(cut, arrivals=(SENT,)))) == 1
    assert len(answered(record(cut, arrivals=(replace(broken, id="p"),)))) == 1
    assert answered(record(cut, arrivals=(SENT,), resumes=True)) == []
    left_open = replace(cut, ended="", ended_at=inf)
    assert len(answered(record(left_open, arrivals=(SENT,), resumes=True))) == 1
    assert len(answered(record(left_open, arrivals=(broken,)))) == 1
    assert answered(record(replace(cut, closed_at=11.4))) == []


def test_a_request_sent_behind_another_is_due_when_that_has_its_answer() -> None:
    first = replace(SERVED, id="p", answered_at=DUE + 1.0)
    late = DUE + 1.0 + ANSWER_SLACK_S
    second = replace(SERVED, status=504, words=(), first_at=late, answered_at=late)
    assert answered(record(on(second, first))) == []
    assert len(answered(record(on(replace(second, answered_at=late + A_LITTLE), first)))) == 1


def test_nothing_is_owed_behind_a_stream_that_its_engine_broke() -> None:
    cut = replace(SERVED, id="p", **{**HALF, "words": ()})
    cut_off = on(replace(SERVED, **NOTHING), cut, ended="eof", ended_at=11.5)
    assert answered(record(cut_off, arrivals=(replace(SENT, id="p", end="broken"),))) == []
    assert len(answered(record(cut_off, arrivals=(replace(SENT, id="p"),)))) == 2


def test_nothing_is_owed_for_what_is_no_request_and_behind_it() -> None:
    asked = replace(SERVED, **NOTHING)
    assert answered(record(on(asked, SERVED, malformed_from=1))) == []
    assert len(answered(record(on(asked, SERVED, malformed_from=2)))) == 1


@pytest.mark.parametrize(
    "words",
    [
        (Word("q", "e0#1", 0), Word("p", "e0#1", 1)),  # another request's
        (Word("q", "e0#1", 0), Word("q", "e1#1", 1)),  # two attempts'
        (Word("q", "e0#1", 0), Word("q", "e0#1", 0)),  # one twice
        (Word("q", "e0#1", 0),),  # one too few
    ],
)
def test_an_answer_has_the_events_of_one_attempt_at_its_request(words: tuple[Word, ...]) -> None:
    assert matched(record(on(SERVED))) == []
    assert len(matched(record(on(replace(SERVED, words=words))))) == 1


def test_the_beginning_of_a_broken_answer_may_lack_its_end_but_nothing_else() -> None:
    half = replace(SERVED, **HALF)
    assert matched(record(on(half))) == []
    assert len(matched(record(on(replace(half, words=SERVED.words[1:]))))) == 1


def test_a_second_answer_is_none_of_the_requests() -> None:
    assert len(matched(record(on(SERVED, answers_too_many=1)))) == 1


def test_an_engine_is_sent_what_a_client_sent() -> None:
    asked, sent = replace(SERVED, digest="1f"), replace(SENT, digest="1f")
    assert known(record(on(asked), arrivals=(sent,))) == []
    assert len(known(record(on(asked), arrivals=(replace(sent, id="p"),)))) == 1
    assert len(known(record(on(asked), arrivals=(replace(sent, digest="1e"),)))) == 1


def test_no_attempt_begins_after_its_client_went() -> None:
    gone = on(replace(SERVED, **NOTHING), closed_at=10.4)
    in_time = replace(SENT, first_at=10.4 + GONE_SLACK_S)
    assert forwarded(record(gone, arrivals=(in_time,))) == []
    (found,) = forwarded(record(gone, arrivals=(replace(in_time, first_at=in_time.first_at + A_LITTLE),)))
    assert "went" in found.message


@pytest.mark.parametrize("status", [200, 503, 504])
def test_no_attempt_begins_after_its_answer_began(status: int) -> None:
    asked = on(replace(SERVED, status=status))
    in_time = replace(SENT, first_at=SERVED.first_at + GONE_SLACK_S)
    assert forwarded(record(asked, arrivals=(in_time,))) == []
    late = replace(in_time, first_at=in_time.first_at + A_LITTLE)
    assert len(forwarded(record(asked, arrivals=(SENT, late)))) == 1


def test_an_engine_is_told_what_the_client_has_left() -> None:
    most = (SERVED.sent_at + SERVED.left_s - SENT.first_at + TOLD_SLACK_S) * 1000.0
    assert time_left(record(on(SERVED), arrivals=(replace(SENT, left_ms=most - 1.0),))) == []
    assert len(time_left(record(on(SERVED), arrivals=(replace(SENT, left_ms=most + 1.0),)))) == 1


def test_what_an_engine_bears_by_its_budget() -> None:
    assert bears(36.0) == 36.0 + 12.0 + 2.0
    assert bears(30.0) == pytest.approx(30.0 + 2.0 * 30.0**0.5 + 2.0)
    assert bears(25.0) == 25.0 + 15.0 + 3.0


COLD = Terms(overload_factor=2.0, cold_from=0.25, cold_ms=10_000.0, tip_after_ms=2000.0, per_s=40.0)
START = 100.0


def sent(times: list[float], routers: int = 2, **changes: Any) -> tuple[Arrival, ...]:
    return tuple(
        Arrival(
            engine="e0",
            started_at=START,
            router=f"r{n % routers}",
            id=f"q{n}",
            first_at=START + at,
            last_at=START + at,
            left_ms=1000.0,
            **changes,
        )
        for n, at in enumerate(times)
    )


def told(*routers: str) -> tuple[Told, ...]:
    return tuple(Told(router=one, engine="e0", started_at=START, at=START) for one in routers)


def cold(arrivals: tuple[Arrival, ...], *routers: str) -> Record:
    return Record(arrivals=arrivals, told=told(*(routers or ("r0", "r1"))), terms=COLD)


def test_an_engine_in_slow_start_is_sent_what_it_bears_by_all_routers_together() -> None:
    most = int(bears(40.0))  # 2 x 40 x 0.25 x 2 s
    assert most == 54
    assert slow_start(cold(sent([0.0] * most))) == []
    (found,) = slow_start(cold(sent([0.0] * (most + 1))))
    assert found.id == "e0" and "2 routers" in found.message


def test_a_span_slides_and_the_capacity_is_that_at_its_end() -> None:
    most = int(bears(40.0))
    assert slow_start(cold(sent([0.0] * most + [2.0]))) == []
    later = int(bears(2.0 * 40.0 * 0.625 * 2.0))  # half way up
    assert slow_start(cold(sent([4.0] * (later // 2) + [5.0] * (later - later // 2)))) == []
    assert len(slow_start(cold(sent([4.0] * (later // 2) + [5.0] * (later - later // 2 + 1))))) == 1


def test_work_counts_not_calls() -> None:
    most = bears(40.0)
    assert slow_start(cold(sent([0.0] * 10, work=most / 10 - A_LITTLE))) == []
    assert len(slow_start(cold(sent([0.0] * 10, work=most / 10 + A_LITTLE)))) == 1


def test_a_warm_engine_bears_anything() -> None:
    assert slow_start(cold(sent([10.0] * 500))) == []
    assert len(slow_start(cold(sent([10.0 - A_LITTLE] * 500)))) == 1
    long_ago = tuple(replace(one, started_at=0.0) for one in sent([0.0] * 500))
    assert slow_start(cold(long_ago)) == []


def test_a_span_counts_where_two_thirds_of_it_came_from_routers_that_were_told() -> None:
    burst = sent([0.0] * 300, routers=3)
    assert len(slow_start(cold(burst, "r0", "r1"))) == 1
    assert slow_start(cold(burst, "r0")) == []
    later = tuple(replace(one, at=START + 0.5) for one in told("r0", "r1"))
    assert slow_start(Record(arrivals=burst, told=later, terms=COLD)) == []
