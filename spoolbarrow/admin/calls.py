"""Maps a request's method and path to one of the operators' API calls.

Owns the table of paths and the HTTP status of each error; `control` executes the calls. Free of I/O.
"""

from __future__ import annotations

from enum import Enum
from urllib.parse import unquote_to_bytes

from msgspec import Struct

from spoolbarrow.errors import Problem
from spoolbarrow.net.http1 import HttpError, Message


class CallFault(Problem):
    """An operator's call is not executed; `answer` is the HTTP status."""

    answer = 400
    where = "the path, the engine, or the field of the call"
    headers: tuple[bytes, ...] = ()


class BadCall(CallFault):
    """A call is not a valid HTTP request, or incomplete at its time-out."""

    remedy = "Repeat the call as described in docs/operators/on-call.md, with `curl`."

    def __init__(self, fault: HttpError) -> None:
        super().__init__("", str(fault))
        self.answer, self.headers = fault.status, fault.headers


class NoSuchPath(CallFault):
    """There is no call with this path."""

    answer = 404
    remedy = "See docs/operators/on-call.md for the path."


class WrongMethod(CallFault):
    """The call with this path uses another method."""

    answer = 405
    remedy = "Use the named method (`curl -X POST` for calls that change something)."

    def __init__(self, path: str, expected: bytes) -> None:
        super().__init__("", f"{path} takes {expected.decode()}")
        self.headers = (b"Allow: " + expected,)


class NoSuchEngine(CallFault):
    """No engine with this id is listed or suspended here."""

    answer = 404
    remedy = "See the log's `destinations`, or discovery, for the id as it is listed."


class NotReady(CallFault):
    """This process can't serve yet, or is shutting down."""

    answer = 503
    remedy = "Wait for its list (`watch_broken` in the log says why none comes), or ask its successor."


class AgreementOff(CallFault):
    """Versions are requested, but the operator's file does not enable them."""

    answer = 404
    remedy = "Add a table `[agree]` with a revision to the operator's file, and send SIGHUP."


class Verb(Enum):
    """The kinds of calls."""

    READY = "readyz"
    METRICS = "metrics"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"
    ZONES = "zones"
    VERSIONS = "versions"
    CHECK = "check"
    ADOPT = "adopt"


class Call(Struct, frozen=True):
    """One call; `engine` is the engine's id if it has one, or the digest to be adopted."""

    verb: Verb
    engine: str = ""


METHODS = {
    Verb.READY: b"GET",
    Verb.METRICS: b"GET",
    Verb.SUSPEND: b"POST",
    Verb.RESUME: b"POST",
    Verb.DRAIN: b"POST",
    Verb.ACTIVATE: b"POST",
    Verb.ZONES: b"GET",
    Verb.VERSIONS: b"GET",
    Verb.CHECK: b"GET",
    Verb.ADOPT: b"POST",
}
PATHS = {
    b"/v1/readyz": Verb.READY,
    b"/v1/metrics": Verb.METRICS,
    b"/v1/router/drain": Verb.DRAIN,
    b"/v1/router/activate": Verb.ACTIVATE,
    b"/v1/zones": Verb.ZONES,
    b"/v1/versions": Verb.VERSIONS,
    b"/v1/settings/check": Verb.CHECK,
}
ENGINE_PREFIX = b"/v1/engines/"
ADOPT_PREFIX = b"/v1/settings/adopt/"
ENGINE_VERBS = {b"suspend": Verb.SUSPEND, b"resume": Verb.RESUME}


def parse(message: Message) -> Call:
    """The call of a request; raises NoSuchPath, WrongMethod or NoSuchEngine if it is none."""
    path = message.path()
    verb, engine = PATHS.get(path), b""
    if verb is None and path.startswith(ENGINE_PREFIX):
        engine, _, action = path[len(ENGINE_PREFIX) :].rpartition(b"/")
        verb = ENGINE_VERBS.get(action) if engine and b"/" not in engine else None
    elif path.startswith(ADOPT_PREFIX):
        verb, engine = Verb.ADOPT, path[len(ADOPT_PREFIX) :]
    if verb is None:
        raise NoSuchPath("", "no such path")
    expected = METHODS[verb]
    if message.method != expected:
        raise WrongMethod(path.decode("latin-1"), expected)
    try:
        return Call(verb, unquote_to_bytes(engine).decode())
    except UnicodeDecodeError:
        raise NoSuchEngine("", "no such engine") from None
