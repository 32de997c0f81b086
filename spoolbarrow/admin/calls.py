"""What operators ask for: a request's method and path, read as one of the calls.

Owns the table of paths and the status of each answer; carrying a call out is `control`'s. Free of I/O.
"""

from __future__ import annotations

from enum import Enum
from urllib.parse import unquote_to_bytes

from msgspec import Struct

from spoolbarrow.net.http1 import Fault, Message


class Verb(Enum):
    """What is asked."""

    READY = "readyz"
    METRICS = "metrics"
    SUSPEND = "suspend"
    RESUME = "resume"
    DRAIN = "drain"
    ACTIVATE = "activate"
    ZONES = "zones"


class Call(Struct, frozen=True):
    """One call; `engine` where it names one."""

    verb: Verb
    engine: str = ""


METHODS = {
    Verb.READY: b"GET", Verb.METRICS: b"GET", Verb.SUSPEND: b"POST", Verb.RESUME: b"POST",
    Verb.DRAIN: b"POST", Verb.ACTIVATE: b"POST", Verb.ZONES: b"GET",
}
PLAIN = {
    b"/v1/readyz": Verb.READY, b"/v1/metrics": Verb.METRICS,
    b"/v1/router/drain": Verb.DRAIN, b"/v1/router/activate": Verb.ACTIVATE, b"/v1/zones": Verb.ZONES,
}
ENGINES = b"/v1/engines/"
OF_ENGINE = {b"suspend": Verb.SUSPEND, b"resume": Verb.RESUME}


def read(message: Message) -> Call:
    """The call that a request makes; Fault 404 for an unknown path, 405 for the wrong method."""
    path = message.path()
    verb, engine = PLAIN.get(path), b""
    if verb is None and path.startswith(ENGINES):
        engine, _, word = path[len(ENGINES) :].rpartition(b"/")
        verb = OF_ENGINE.get(word) if engine and b"/" not in engine else None
    if verb is None:
        raise Fault(404, "no such path")
    wanted = METHODS[verb]
    if message.method != wanted:
        raise Fault(405, f"{path.decode('latin-1')} takes {wanted.decode()}", b"Allow: " + wanted)
    try:
        return Call(verb, unquote_to_bytes(engine).decode())
    except UnicodeDecodeError:
        raise Fault(404, "no such engine") from None
