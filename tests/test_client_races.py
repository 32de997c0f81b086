"""What comes between two lines of a client's connection: its bytes, its end, a drain, another write.

Each order is forced by a gate (a hook at the yield, or what the kernel is seen to hold), not by time.
"""

from __future__ import annotations

from typing import Any

import pytest
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.net.client import AHEAD
from spoolbarrow.net.client import Client as InboundClient
from spoolbarrow.net.http1 import Message
from spoolbarrow.net.request import Attempt
from tests.stage import EVENTS, HEAD, Client, ask, chunk, stage, until

END = b"0\r\n\r\n"


def the_client(scene: Any) -> InboundClient:
    """The router's side of the only client's connection."""
    inside: InboundClient | None = until(lambda: next(iter(scene.inbound._clients), None))
    assert inside is not None
    return inside


def all_of(client: Client) -> bytes:
    """What comes until the connection ends; ConnectionResetError where it is reset."""
    got = b""
    while data := client.sock.recv(65536):
        got += data
    return got


@pytest.mark.parametrize("event_first", [True, False])
def test_an_event_that_is_read_after_its_stream_was_broken_off_goes_nowhere(
    event_first: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The engine's next event, or its end, is read after a drain broke the stream off.

    Its greenlet is ended later. An event can't be written any more. That is no sign that the client has gone:
    its connection is closed only after it has taken in what was written before. The end alone writes nothing,
    which holds without a change.
    """

    def half(sock: socket.socket, message: Message) -> None:
        sock.sendall(HEAD + chunk(EVENTS[0]))
        go.wait()
        sock.sendall(chunk(b"data: late\n\n") if event_first else END)

    go = Event()
    monkeypatch.setattr(Attempt, "stop", lambda attempt: None)
    with stage(half) as (scene, _):
        client = scene.client().send(ask())
        inside = the_client(scene)
        until(lambda: scene.heard(i.StreamStarted))
        (request,) = scene.host._requests.values()
        (attempt,) = request.attempts
        client.send(b"".join(ask(X_Correlation_Id=str(n)) for n in range(AHEAD + 1)))
        until(lambda: len(inside._parser.whole) > AHEAD)
        client.send(b"POST")
        until(inside.unread)
        scene.host.move_streams()
        assert inside.ending and not inside._closed
        go.set()
        attempt.greenlet.join()
        assert not inside._closed
        got = all_of(client)
        assert EVENTS[0] in got and b"late" not in got and not got.endswith(END)
