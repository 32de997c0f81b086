"""Tests that pipelined requests before a malformed one are answered."""

from __future__ import annotations

import pytest

from tests.router_harness import ask, running_router, serve_all


@pytest.mark.parametrize("behind", [b"\x00nonsense\r\n\r\n", b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n"])
def test_each_request_read_before_a_malformed_one_has_an_answer(behind: bytes) -> None:
    """Each request on the new connection gets its own response."""
    ids = ["one", "two", "three"]
    with running_router(serve_all) as (scene, _):
        client = scene.client().send(b"".join(ask(X_Correlation_Id=id) for id in ids) + behind)
        for _id in ids:
            assert client.answer().complete
