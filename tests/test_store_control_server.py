"""What a store member promises its callers, on loopback: each is answered, none holds up the others."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
import pytest
from gevent import socket

from spoolbarrow.lab.cluster import free_ports
from spoolbarrow.store import control_server, faults
from spoolbarrow.store.state import MOST_VALUE
from tests.router_harness import LISTEN, Client

CHUNKED = b"PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"x" * (MOST_VALUE + 1)


def answer(call: control_server.Call) -> dict[str, Any]:
    if call.path == "/odd":
        raise ZeroDivisionError
    if call.path == "/led":
        raise faults.NotLeading("", "another member leads", leader="m1")
    return {"method": call.method, "path": call.path, "query": call.query, "length": len(call.body)}


@contextmanager
def called() -> Iterator[int]:
    port = free_ports(1)[0]
    made = control_server.Callers((LISTEN, port), answer)
    try:
        yield port
    finally:
        made.close()


@pytest.mark.parametrize(
    ("said", "status", "told"),
    [
        (b"GET /a%2Fb%C3%A9?expect=3 HTTP/1.1\r\n\r\n", 200,
         {"method": "GET", "path": "/a/b\u00e9", "query": "expect=3", "length": 0}),
        (CHUNKED + b"2\r\nab\r\n0\r\n\r\n", 200,
         {"method": "PUT", "path": "/k", "query": "", "length": 2}),
        (b"GET /led HTTP/1.1\r\n\r\n", 409,
         {"error": "another member leads", "remedy": faults.NotLeading.remedy, "leader": "m1"}),
        (b"PUT /k HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG), 400,
         {"error": f"value: more than {MOST_VALUE} bytes", "remedy": faults.BadDocument.remedy}),
        (CHUNKED + b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG), 400,
         {"error": f"value: more than {MOST_VALUE} bytes", "remedy": faults.BadDocument.remedy}),
    ],
)  # fmt: skip
def test_a_call_is_read_and_answered_and_ends_its_connection(
    said: bytes, status: int, told: dict[str, Any]
) -> None:
    with called() as port:
        caller = Client(port).send(said)
        found = caller.answer()
        assert (found.status, msgspec.json.decode(b"".join(found.take_body()))) == (status, told)
        assert caller.ended()


def test_a_fault_of_ours_is_answered_and_logged(capfd: pytest.CaptureFixture[str]) -> None:
    with called() as port:
        found = Client(port).send(b"GET /odd HTTP/1.1\r\n\r\n").answer()
        assert found.status == 500 and b"remedy" in b"".join(found.take_body())
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_callers_that_say_nothing_are_cut_off(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_server, "MOST_CALLERS", 2)
    monkeypatch.setattr(control_server, "WHOLE_S", 0.2)
    with called() as port:
        silent = [socket.create_connection((LISTEN, port), 20) for _ in range(4)]
        assert Client(port).send(b"GET /k HTTP/1.1\r\n\r\n").answer().status == 200
        assert [one.recv(1) for one in silent] == [b""] * 4
        for one in silent:
            one.close()
