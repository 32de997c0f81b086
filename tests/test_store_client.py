"""The routers' client of the store: failing members, and the revision that its writes name."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from random import SystemRandom

import pytest
from gevent import socket

from spoolbarrow.net.http1 import Message
from spoolbarrow.net.store_client import MemberUnavailable, Put, StoreClient
from spoolbarrow.operator import FleetTable
from tests.router_harness import ScriptedServer, json_response


@contextmanager
def members(*answers: bytes) -> Iterator[tuple[StoreClient, list[ScriptedServer]]]:
    """A client of members that each have one answer to every call; none closes the connection."""

    def member(answer: bytes) -> ScriptedServer:
        def respond(sock: socket.socket, message: Message) -> bool:
            sock.sendall(answer)
            return True

        return ScriptedServer(respond)

    servers = [member(answer) for answer in answers]
    try:
        addresses = [f"127.0.0.1:{server.port}" for server in servers]
        yield StoreClient(FleetTable(members=addresses, call_ms=20_000.0), SystemRandom()), servers
    finally:
        for server in servers:
            server.close()


@pytest.mark.parametrize("status", [200, 400, 409, 500, 503])
def test_a_failed_read_gives_no_revision_to_write_at(status: int) -> None:
    """Guards against a write at revision -1, which replaces any: a failed read passed for that revision."""
    with (
        members(json_response(status, b'{"error": "internal error"}')) as (client, _),
        pytest.raises(MemberUnavailable),
    ):
        client.get("k")


def test_a_repeated_write_names_the_same_revision() -> None:
    """Guards against issue 58, case 8, in routers: a write without an answer is repeated at one revision."""
    conflict = json_response(409, b'{"error": "at another revision", "revision": 9}')
    with members(b"", b"", conflict) as (client, servers):
        assert client.put("k", b"v", 7) == Put(conflict=True)
        targets = {message.target for server in servers for message in server.requests}
    assert targets == {b"/v1/store/k?expect=7"}
