"""Calls that commands make to the listeners of routers and store members, each on a connection of its own."""

from __future__ import annotations

import http.client
import json
from typing import Any, NamedTuple, TypeVar

import msgspec

from spoolbarrow.cli.errors import NoAnswer

CALL_S = 5.0
T = TypeVar("T")


class Answer(NamedTuple):
    """A status of HTTP, and the object that came with it."""

    status: int
    body: dict[str, Any]


def request_json(address: str, method: str, path: str, body: bytes = b"") -> Answer:
    """What HOST:PORT answers; NoAnswer where nothing comes within CALL_S that can be read."""
    try:
        connection = http.client.HTTPConnection(address, timeout=CALL_S)
        connection.request(method, path, body or None)
        answer = connection.getresponse()
        told = json.loads(answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise NoAnswer(address, f"no answer: {error}") from error
    if not isinstance(told, dict):
        raise NoAnswer(address, "no answer: not an object of JSON")
    return Answer(answer.status, told)


def understood(address: str, told: dict[str, Any], kind: type[T]) -> T:
    """What an answer tells; NoAnswer where it is another program's, or lacks something."""
    try:
        return msgspec.convert(told, kind)
    except msgspec.ValidationError as error:
        raise NoAnswer(address, f"no answer that can be used: {error}") from error
