"""What operators ask for: a request's method and path, read as one of the calls.

Owns the table of paths and the status of each answer; carrying a call out is `control`'s. Free of I/O.
"""

from __future__ import annotations

from enum import Enum
from urllib.parse import unquote_to_bytes

from msgspec import Struct

from spoolbarrow.errors import Problem
from spoolbarrow.net.http1 import HttpError, Message


class CallFault(Problem):
    """An operator's call is not carried out; `answer` is the status of HTTP."""

    answer = 400
    where = "the path, the engine, or the field of the call"
    headers: tuple[bytes, ...] = ()


class BadCall(CallFault):
    """A call is no request that can be read, or not whole in time."""

    remedy = "Say it again as docs/operators/on-call.md has it, by `curl`."

    def __init__(self, fault: HttpError) -> None:
        super().__init__("", str(fault))
        self.answer, self.headers = fault.status, fault.headers


class NoSuchPath(CallFault):
    """There is no call of this path."""

    answer = 404
    remedy = "Look the path up in docs/operators/on-call.md."


class WrongMethod(CallFault):
    """There is a call of this path, by another method."""

    answer = 405
    remedy = "Say it by the method that is named (`curl -X POST` where it changes something)."

    def __init__(self, path: str, wanted: bytes) -> None:
        super().__init__("", f"{path} takes {wanted.decode()}")
        self.headers = (b"Allow: " + wanted,)


class NoSuchEngine(CallFault):
    """No engine of this id is listed or suspended here."""

    answer = 404
    remedy = "Look at the log's `destinations`, or at discovery, for the id as it is listed."


class NotReady(CallFault):
    """This process can't serve yet, or no more."""

    answer = 503
    remedy = "Wait for its list (`watch_broken` in the log says why there is none), or ask its successor."


class AgreementOff(CallFault):
    """Versions are asked for, and the operator's file does not switch them on."""

    answer = 404
    remedy = "Give the operator's file a table `[agree]` with a revision, and send SIGHUP."


class Verb(Enum):
    """What is asked."""

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
    """One call; `engine` where it names one, or the digest of what is to be adopted."""

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
PLAIN = {
    b"/v1/readyz": Verb.READY,
    b"/v1/metrics": Verb.METRICS,
    b"/v1/router/drain": Verb.DRAIN,
    b"/v1/router/activate": Verb.ACTIVATE,
    b"/v1/zones": Verb.ZONES,
    b"/v1/versions": Verb.VERSIONS,
    b"/v1/settings/check": Verb.CHECK,
}
ENGINES = b"/v1/engines/"
ADOPT = b"/v1/settings/adopt/"
OF_ENGINE = {b"suspend": Verb.SUSPEND, b"resume": Verb.RESUME}


def read(message: Message) -> Call:
    """The call that a request makes; NoSuchPath, WrongMethod or NoSuchEngine where it makes none."""
    path = message.path()
    verb, engine = PLAIN.get(path), b""
    if verb is None and path.startswith(ENGINES):
        engine, _, word = path[len(ENGINES) :].rpartition(b"/")
        verb = OF_ENGINE.get(word) if engine and b"/" not in engine else None
    elif path.startswith(ADOPT):
        verb, engine = Verb.ADOPT, path[len(ADOPT) :]
    if verb is None:
        raise NoSuchPath("", "no such path")
    wanted = METHODS[verb]
    if message.method != wanted:
        raise WrongMethod(path.decode("latin-1"), wanted)
    try:
        return Call(verb, unquote_to_bytes(engine).decode())
    except UnicodeDecodeError:
        raise NoSuchEngine("", "no such engine") from None
