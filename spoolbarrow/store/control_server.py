"""Callers of a store member over HTTP/1.1: gevent's own server, one call to a connection, bounded.

Owns the listener and the callers' connections; what a call means is the member's. A caller that says nothing,
or takes nothing of its answer, is cut off after WHOLE_S; beyond MOST_CALLERS others wait for a place.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import gevent
import orjson
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from msgspec import Struct

from spoolbarrow.config import Address
from spoolbarrow.errors import InternalError
from spoolbarrow.net import http1
from spoolbarrow.net.log import log_exception
from spoolbarrow.store.faults import BadCall, BadDocument, StoreFault
from spoolbarrow.store.state import MOST_VALUE

MOST_CALLERS = 64  # connections at once
WHOLE_S = 8.0  # from a connection's start to its end: what a caller asks may take 3 s of it


class Call(Struct, frozen=True):
    """What a caller asks: the path as it is meant, without escapes, and what stands behind its `?`."""

    method: str
    path: str
    query: str
    body: bytes


class _Bounded(WSGIHandler):
    """One caller, with an end to its patience."""

    def handle(self) -> None:
        """Its call, as far as that goes in time."""
        with gevent.Timeout(WHOLE_S, False):  # type: ignore[arg-type]
            super().handle()


class Callers:
    """The listener for callers; `answer` carries a call out, or raises StoreFault."""

    def __init__(self, where: Address, answer: Callable[[Call], dict[str, Any]]) -> None:
        """OSError where the address can't be listened on."""
        self._answer = answer
        self._server = WSGIServer(
            http1.listen(where, MOST_CALLERS), self._serve, spawn=Pool(MOST_CALLERS), handler_class=_Bounded,
            log=None, error_log=None,
        )  # fmt: skip
        self._server.start()

    def close(self) -> None:
        """Listen no more; callers under way are cut off."""
        self._server.stop(0.0)

    def _serve(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        try:
            status, told = 200, self._answer(_read(environ))
        except StoreFault as error:
            status, told = error.answer, {"error": str(error), "remedy": error.remedy, **error.told}
        except Exception as error:
            log_exception("store", error)
            status, told = 500, {"error": "internal error", "remedy": InternalError.remedy}
        text = orjson.dumps(told)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(text)))]
        start(f"{status} {HTTPStatus(status).phrase}", [*headers, ("Connection", "close")])
        return [text]


def _read(environ: dict[str, Any]) -> Call:
    """The call that a request makes; BadDocument for a body that is too long, whatever its form."""
    try:
        body = environ["wsgi.input"].read(MOST_VALUE + 1)
    except OSError as error:
        raise BadCall("", f"the body ends before its time: {error}") from error
    if len(body) > MOST_VALUE:
        raise BadDocument("value", f"more than {MOST_VALUE} bytes")
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")  # bytes, as WSGI has them
    return Call(environ["REQUEST_METHOD"], path, environ["QUERY_STRING"], body)
