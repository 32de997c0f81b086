"""What an endpoint's answer tells beside its text: its load, and how much of the prompt it found cached."""

from __future__ import annotations

import msgspec

from spoolbarrow import interface as i
from spoolbarrow.wire import decode_load_report

LOAD_HEADER = b"x-backend-load"  # the header of an answer that tells it
MAX_LOAD = 1e6  # nothing that is reported is larger
SHORT_NAMES = {"util": "load_share", "queue": "depth"}  # as sockets name them: the settings' names


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None


class _Event(msgspec.Struct):
    usage: _Usage | None = None


_event = msgspec.json.Decoder(_Event)


def parse_load(text: bytes) -> i.Report | None:
    """A load report, `x1=3.2,util=0.4`; what can't be read of it is left out."""
    stats: dict[str, float] = {}
    for pair in text.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        name = name.strip()
        try:
            number = float(value)
        except ValueError:
            continue
        if 0.0 <= number < MAX_LOAD:  # nor is a number of no size: it would spoil the means it goes into
            stats[SHORT_NAMES.get(name, name)] = number
    return decode_load_report(stats)


def kept_tokens(tail: bytes) -> int:
    """How much of the prompt the endpoint found kept, as the last events of a stream tell."""
    at = tail.rfind(b'"usage"')
    start = tail.rfind(b"data:", 0, at) if at >= 0 else -1
    if start < 0:
        return 0
    try:
        event = _event.decode(tail[start + 5 :].partition(b"\n")[0])
    except msgspec.DecodeError:
        return 0
    details = event.usage and event.usage.prompt_tokens_details
    return details.cached_tokens if details else 0


def tail_report(tail: bytes) -> i.Report | None:
    """The load report at the end of a stream, a comment line."""
    mark = b": X-Backend-Load:"
    at = tail.rfind(mark)
    return parse_load(tail[at + len(mark) :].partition(b"\n")[0]) if at >= 0 else None
