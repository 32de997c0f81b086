"""The control server of a store member, on loopback: each call is answered, idle clients block no others."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import msgspec
import pytest
from gevent import socket

from spoolbarrow.lab.cluster import free_ports
from spoolbarrow.store import control_server, faults
from spoolbarrow.store.state import MAX_VALUE_BYTES
from tests.router_harness import LISTEN, Client

CHUNKED = b"PUT /k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = b"x" * (MAX_VALUE_BYTES + 1)


def answer(call: control_server.Call) -> dict[str, Any]:
    if call.path == "/odd":
        raise ZeroDivisionError
    if call.path == "/led":
        raise faults.NotLeading("", "another member leads", leader="m1")
    return {"method": call.method, "path": call.path, "query": call.query, "length": len(call.body)}


@contextmanager
def running_server() -> Iterator[int]:
    port = free_ports(1)[0]
    server = control_server.ControlServer((LISTEN, port), answer)
    try:
        yield port
    finally:
        server.close()


@pytest.mark.parametrize(
    ("request_bytes", "status", "content"),
    [
        (b"GET /a%2Fb%C3%A9?expect=3 HTTP/1.1\r\n\r\n", 200,
         {"method": "GET", "path": "/a/b\u00e9", "query": "expect=3", "length": 0}),
        (CHUNKED + b"2\r\nab\r\n0\r\n\r\n", 200,
         {"method": "PUT", "path": "/k", "query": "", "length": 2}),
        (b"GET /led HTTP/1.1\r\n\r\n", 409,
         {"error": "another member leads", "remedy": faults.NotLeading.remedy, "leader": "m1"}),
        (b"PUT /k HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG), LONG), 400,
         {"error": f"value: more than {MAX_VALUE_BYTES} bytes", "remedy": faults.BadDocument.remedy}),
        (CHUNKED + b"%x\r\n%b\r\n0\r\n\r\n" % (len(LONG), LONG), 400,
         {"error": f"value: more than {MAX_VALUE_BYTES} bytes", "remedy": faults.BadDocument.remedy}),
    ],
)  # fmt: skip
def test_a_call_is_answered_and_its_connection_closed(
    request_bytes: bytes, status: int, content: dict[str, Any]
) -> None:
    with running_server() as port:
        caller = Client(port).send(request_bytes)
        found = caller.answer()
        assert (found.status, msgspec.json.decode(b"".join(found.take_body()))) == (status, content)
        assert caller.ended()


def test_an_internal_error_is_answered_and_logged(capfd: pytest.CaptureFixture[str]) -> None:
    with running_server() as port:
        found = Client(port).send(b"GET /odd HTTP/1.1\r\n\r\n").answer()
        assert found.status == 500 and b"remedy" in b"".join(found.take_body())
    assert "ZeroDivisionError" in capfd.readouterr().err


def test_idle_clients_are_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_server, "MAX_CONNECTIONS", 2)
    monkeypatch.setattr(control_server, "CONNECTION_TIMEOUT_S", 0.2)
    with running_server() as port:
        idle = [socket.create_connection((LISTEN, port), 20) for _ in range(4)]
        assert Client(port).send(b"GET /k HTTP/1.1\r\n\r\n").answer().status == 200
        assert [connection.recv(1) for connection in idle] == [b""] * 4
        for connection in idle:
            connection.close()
