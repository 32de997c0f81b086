"""The account of memory, and the counts that bound what a peer can make the program hold."""

from __future__ import annotations

import errno
import os

import msgspec
import pytest

from spoolbarrow import config
from spoolbarrow.net.http1 import HttpError, RequestParser, ResponseParser
from spoolbarrow.net.memory_account import (
    CONNECTION_BYTES,
    INPUT_BYTES,
    MIB,
    MIN_CAPACITY_BYTES,
    READER_BYTES,
    MemoryAccount,
    Resident,
    capacity_bytes,
    resident,
)
from spoolbarrow.net.request_facts import MAX_ID_BYTES
from spoolbarrow.net.request_parser import HEAD_READ_BYTES, MAX_FIELDS, MAX_SMALL_CHUNKS
from tests.router_harness import ask, make_config, running_router, serve_all, wait_until

POST = b"POST / HTTP/1.1\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def parsed(raw: bytes) -> RequestParser:
    parser = RequestParser(16_384, 262_144)
    for first in range(0, len(raw), 4096):
        parser.feed(memoryview(raw)[first : first + 4096])
    return parser


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (POST + b"a:\r\n" * (MAX_FIELDS + 5), 431),
        (CHUNKED + b"1\r\nx\r\n" * (MAX_SMALL_CHUNKS + 50), 400),
        (CHUNKED + b"1\r\nx\r\n0\r\n" + b"t:\r\n" * (MAX_FIELDS + 5), 400),
    ],
)
def test_more_fields_chunks_or_trailers_than_messages_have_are_refused(raw: bytes, status: int) -> None:
    error = parsed(raw).error
    assert error is not None and error.status == status


def test_bodies_in_ordinary_chunks_and_heads_of_a_hundred_fields_are_taken() -> None:
    fields = b"".join(b"X-%d: y\r\n" % number for number in range(MAX_FIELDS - 1))
    raw = POST + fields + b"Transfer-Encoding: chunked\r\n\r\n" + b"40\r\n" + b"x" * 64 + b"\r\n"
    raw += (b"40\r\n" + b"y" * 64 + b"\r\n") * 4000 + b"0\r\n\r\n"
    parser = parsed(raw)
    assert parser.error is None and len(parser.complete[0].body) == 64 * 4001
    assert len(parser.complete[0].headers) == MAX_FIELDS


def test_an_answer_with_more_fields_than_messages_have_is_unreadable() -> None:
    parser = ResponseParser(16_384)
    fields = b"".join(b"X-%d: y\r\n" % number for number in range(MAX_FIELDS + 1))
    with pytest.raises(HttpError, match="header fields"):
        parser.feed(memoryview(b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"))


@pytest.mark.parametrize(("size", "status"), [(MAX_ID_BYTES, 200), (MAX_ID_BYTES + 1, 400)])
def test_ids_are_bounded(size: int, status: int) -> None:
    with running_router(serve_all) as (harness, _):
        answer = harness.client().send(ask(X_Correlation_Id="x" * size)).answer()
        assert answer.status == status


def test_only_the_request_under_way_is_read() -> None:
    parser = parsed(POST + b"Content-Length: 5000\r\n\r\n" + b"x" * 1000)
    assert parser.next_read_bytes() == 4000
    parser.feed(memoryview(b"x" * 4000))
    assert parser.next_read_bytes() == HEAD_READ_BYTES and not parser.at_rest()
    parser.complete.popleft()
    assert parser.at_rest()


def account(memory_mb: float, resident_mb: float, shared_mb: float, processes: int = 1) -> MemoryAccount:
    parsed_config = config.parse(msgspec.json.encode(make_config([], limits={"memory_mb": memory_mb})))
    made = MemoryAccount(msgspec.structs.replace(parsed_config, processes=processes))
    made.begin(Resident(int(resident_mb * MIB), int(shared_mb * MIB)))
    return made


def test_the_capacity_is_what_the_process_leaves_of_its_limit() -> None:
    assert 0 < account(32.0, 24.0, 9.0).capacity < 8 * MIB
    assert account(64.0, 24.0, 9.0, processes=2).capacity < account(64.0, 24.0, 9.0).capacity / 2
    assert account(2.0, 24.0, 9.0).capacity == MIN_CAPACITY_BYTES
    assert capacity_bytes(32.0, Resident(0, 0)) < 32 * MIB


def test_no_more_connections_are_accepted_than_can_all_be_read_at_once() -> None:
    made = account(32.0, 25.0, 9.0)
    each = CONNECTION_BYTES + INPUT_BYTES + READER_BYTES
    most = max(count for count in range(1000) if made.may_connect(count))
    assert most * each <= made.capacity < 2 * most * each
    made.change(made.capacity)
    assert not made.may_connect(1)


def test_the_capacity_shrinks_near_the_limit_and_recovers() -> None:
    made = account(64.0, 24.0, 9.0)
    full = made.capacity
    made.change(full // 2)
    assert made.is_near_limit(63 * MIB) and not made.is_near_limit(40 * MIB)
    assert made.hold_no_more() and made.capacity == full // 2 and not made.fits(1)
    assert not made.hold_no_more()
    for _ in range(100):
        made.recover()
    assert made.capacity == full


def test_a_kernel_that_tells_no_memory_leaves_a_usual_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail(*_: object) -> bytes:
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(os, "pread", fail)
    assert resident() is None
    made = account(64.0, 24.0, 9.0)
    made.begin(resident())
    assert MIN_CAPACITY_BYTES < made.capacity < 64 * MIB and not made.check_limit(1e6)
    made.collect_and_trim()


def test_a_closed_connection_gives_back_all_that_it_was_charged() -> None:
    with running_router(serve_all) as (harness, _):
        assert harness.inbound.memory.held == 0
        clients = [
            harness.client().send(POST + b"Content-Length: 9000\r\n\r\n" + b"x" * 8000) for _ in range(9)
        ]
        wait_until(lambda: harness.inbound.held_bytes == 9 * 8000)
        assert harness.inbound.memory.held > 9 * 8000
        for client in clients:
            client.sock.close()
        wait_until(lambda: not harness.inbound.clients())
        assert harness.inbound.memory.held == harness.inbound.held_bytes == 0
