"""HTTP client of commands for the listeners of routers and store members, with a new connection per call."""

from __future__ import annotations

import http.client
import json
from typing import Any, NamedTuple, TypeVar

import msgspec

from spoolbarrow.cli.errors import NoAnswer, Unreachable

CALL_TIMEOUT_S = 5.0
T = TypeVar("T")


class Answer(NamedTuple):
    """An HTTP status and the JSON object of the response."""

    status: int
    body: dict[str, Any]


def request_json(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """The response of HOST:PORT; raises NoAnswer without a valid one within CALL_TIMEOUT_S.

    After NoAnswer the call may have been carried out, or may still be, except after Unreachable.
    """
    connection = _connect(address)
    try:
        connection.request(method, path, body or None)
        response = connection.getresponse()
        decoded = json.loads(response.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise NoAnswer(address, f"no answer: {error}") from error
    finally:
        connection.close()
    if not isinstance(decoded, dict):
        raise NoAnswer(address, "no answer: not a JSON object")
    return Answer(response.status, decoded)


def _connect(address: str) -> http.client.HTTPConnection:
    """A new connection; raises Unreachable if there can be none."""
    try:
        connection = http.client.HTTPConnection(address, timeout=CALL_TIMEOUT_S)
        connection.connect()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise Unreachable(address, f"no answer: {error}") from error
    return connection


def convert_response(address: str, body: dict[str, Any], kind: type[T]) -> T:
    """Convert a response; raises NoAnswer if it is another program's, or lacks a field."""
    try:
        return msgspec.convert(body, kind)
    except msgspec.ValidationError as error:
        raise NoAnswer(address, f"no answer: not as expected: {error}") from error
