"""Parses the metadata in an endpoint's answer: its load, and how much of the prompt it had cached."""

from __future__ import annotations

import msgspec

from spoolbarrow import interface as i
from spoolbarrow.wire import decode_load_report

LOAD_HEADER = b"x-backend-load"  # answer header with the load report
MAX_LOAD = 1e6  # larger values are invalid
REPORT_FIELDS = {"util": "load_share", "queue": "depth"}  # name in a report: name in the settings


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None


class _Event(msgspec.Struct):
    usage: _Usage | None = None


_event = msgspec.json.Decoder(_Event)


def parse_load(text: bytes) -> i.Report | None:
    """Parse a load report, such as `x1=3.2,util=0.4`; invalid entries are skipped."""
    stats: dict[str, float] = {}
    for pair in text.decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        name = name.strip()
        try:
            number = float(value)
        except ValueError:
            continue
        if 0.0 <= number < MAX_LOAD:  # also excludes NaN, which would corrupt averages
            stats[REPORT_FIELDS.get(name, name)] = number
    return decode_load_report(stats)


def parse_cached_tokens(tail: bytes) -> int:
    """The number of cached prompt tokens, from the usage in the last events of a stream."""
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


def parse_tail_report(tail: bytes) -> i.Report | None:
    """The load report in a comment line at the end of a stream."""
    mark = b": X-Backend-Load:"
    at = tail.rfind(mark)
    return parse_load(tail[at + len(mark) :].partition(b"\n")[0]) if at >= 0 else None
