"""HTTP/1.1 control server of a store member: gevent's WSGI server with one call per connection.

Owns the listener and the client connections; the member carries the calls out. A client that sends nothing,
or reads nothing of its response, is disconnected after CONNECTION_TIMEOUT_S; beyond MAX_CONNECTIONS, new
connections wait.
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
from spoolbarrow.store.state import MAX_VALUE_BYTES

MAX_CONNECTIONS = 64  # open at once
CONNECTION_TIMEOUT_S = 8.0  # from a connection's start to its end; a call may take 3 s of it


class Call(Struct, frozen=True):
    """One request: the path with escapes decoded, and the query string without its `?`."""

    method: str
    path: str
    query: str
    body: bytes


class _Handler(WSGIHandler):
    """Serves one connection, for a limited time."""

    def handle(self) -> None:
        """Serve the connection's call; give up at the time limit."""
        with gevent.Timeout(CONNECTION_TIMEOUT_S, False):  # type: ignore[arg-type]
            super().handle()


class ControlServer:
    """Listens for calls; `answer` carries a call out, or raises StoreFault."""

    def __init__(self, address: Address, answer: Callable[[Call], dict[str, Any]]) -> None:
        """Raises OSError if it can't listen on the address."""
        self._answer = answer
        self._server = WSGIServer(
            http1.listen(address, MAX_CONNECTIONS), self._serve,
            spawn=Pool(MAX_CONNECTIONS), handler_class=_Handler,
            log=None, error_log=None,
        )  # fmt: skip
        self._server.start()

    def close(self) -> None:
        """Stop listening and disconnect open connections."""
        self._server.stop(0.0)

    def _serve(self, environ: dict[str, Any], start: Callable[..., Any]) -> Iterable[bytes]:
        try:
            status, content = 200, self._answer(_read(environ))
        except StoreFault as error:
            status, content = error.answer, {"error": str(error), "remedy": error.remedy, **error.details}
        except Exception as error:
            log_exception("store", error)
            status, content = 500, {"error": "internal error", "remedy": InternalError.remedy}
        text = orjson.dumps(content)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(text)))]
        start(f"{status} {HTTPStatus(status).phrase}", [*headers, ("Connection", "close")])
        return [text]


def _read(environ: dict[str, Any]) -> Call:
    """The call in a request; BadDocument if the body is too long, whatever its transfer coding."""
    try:
        body = environ["wsgi.input"].read(MAX_VALUE_BYTES + 1)
    except OSError as error:
        raise BadCall("", f"the body ends before its time: {error}") from error
    if len(body) > MAX_VALUE_BYTES:
        raise BadDocument("value", f"more than {MAX_VALUE_BYTES} bytes")
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")  # WSGI passes bytes as latin-1
    return Call(environ["REQUEST_METHOD"], path, environ["QUERY_STRING"], body)
