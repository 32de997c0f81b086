"""Calls to discovery: the whole list, and a watch on it that is broken once it has fallen silent.

Owns connections to discovery, and its share of the clock for silence (docs/design.md, "The list's clock");
what the list means, and when to call, is left to whoever calls.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult

from spoolbarrow.config import Address, HostList, Options
from spoolbarrow.net import http1
from spoolbarrow.net.log import unexpected
from spoolbarrow.net.messages import Messages

RECV = 65536
MAX_LINE = 1 << 22  # a longer one is no list
CLOCK_MS = 6000.0  # after a watch fell silent, what it would have said counts as told
CONNECT_MS = 1200.0  # one packet lost is sent again after 1 s
SPREAD_MS = 250.0  # before a watch that fell silent is opened anew: all may have fallen silent at once
MUTE_MS = 2000.0  # the longest pause after calls that never brought a word, one after the other
AGENT_MS, AGENT_CALLS = 150.0, 8  # between calls to an agent that does not answer; so many at once
AGENT_ANSWER_MS = 1000.0  # an agent answers at once; one that takes so long is silent
_decoder = msgspec.json.Decoder(HostList)
FAULTS = (OSError, http1.Fault, msgspec.DecodeError)  # what a call may end in


class Silent(Exception):
    """A watch has said nothing whole for too long; its connection may still be open."""


def whole(discovery: Address, options: Options, limit_ms: float) -> HostList:
    """The whole list, within `limit_ms`; one of FAULTS where it does not come."""
    parser, buffer, body = http1.ResponseParser(options.max_head), bytearray(RECV), b""
    late = gevent.Timeout(limit_ms / 1000, TimeoutError("no whole list in time"))
    with late, http1.connect(discovery, min(CONNECT_MS, limit_ms) / 1000) as sock:
        http1.send_pieces(sock, http1.get_pieces(b"/discovery/hosts", discovery))
        while not parser.whole:
            parser.read(sock, buffer)
            body += b"".join(parser.take_body())
            if len(body) > MAX_LINE:
                raise http1.Fault(502, "list too long")
    if parser.status != 200:
        raise http1.Fault(502, f"discovery answered {parser.status}")
    return _decoder.decode(body)


def follow(
    discovery: Address, options: Options, index: int, now: Callable[[], float], limit_ms: float
) -> Iterator[HostList | None]:
    """What a watch says from version `index` on, None for an empty line; ends where the watch does.

    Its answer begins within `limit_ms` (TimeoutError), each further word within `options.watch_silence_ms`
    of the one before it: Silent. A word is an empty line or a whole list: bytes that come, or lines of a
    list, say nothing before it is whole. `now` counts ms. Any of FAULTS where the call fails.
    """
    parser, buffer = http1.ResponseParser(options.max_head), bytearray(RECV)
    messages, heard = Messages(MAX_LINE), now()
    with http1.connect(discovery, min(CONNECT_MS, limit_ms) / 1000) as sock:
        target = b"/discovery/hosts?stream=1&index=%d" % index
        http1.send_pieces(sock, http1.get_pieces(target, discovery))
        while not parser.whole:
            headed = parser.headed
            limit = options.watch_silence_ms if headed else limit_ms
            if not _read(parser, sock, buffer, heard + limit - now()):
                if headed:
                    raise Silent
                raise TimeoutError("no answer in time")
            if parser.headed and parser.status != 200:
                raise http1.Fault(502, f"discovery answered {parser.status}")
            words = messages.feed(b"".join(parser.take_body()))
            if words or parser.headed != headed:
                heard = now()
            for word in words:
                yield _decoder.decode(word) if word else None


def _read(parser: http1.ResponseParser, sock: socket.socket, buffer: bytearray, left_ms: float) -> bool:
    """Read what comes next; False where nothing has come in time.

    A stop of this process is no silence: of what is due at once, gevent hands out what came before timeouts.
    """
    late = gevent.Timeout(max(left_ms, 1.0) / 1000)
    try:
        with late:
            parser.read(sock, buffer)
    except gevent.Timeout as fired:
        if fired is not late:
            raise
        return False
    return True


def ask_agent(discovery: Address, options: Options) -> HostList:
    """The whole list from an agent on this machine, asked again and again until it answers.

    An agent answers at once and at no cost, or is silent while discovery is down, and what it has counts as
    told at once when that is back. So no call that waits is given up for the next one: the first answer wins.
    """
    answer: AsyncResult[HostList] = AsyncResult()
    calls: set[gevent.Greenlet[[], None]] = set()

    def call() -> None:
        try:
            answer.set(whole(discovery, options, AGENT_MS * AGENT_CALLS))
        except FAULTS:
            pass  # the next call is on its way
        except Exception as error:
            unexpected("agent", error)

    try:
        while True:
            calls = {one for one in calls if not one.dead}
            if len(calls) < AGENT_CALLS:
                calls.add(gevent.spawn(call))
            news = answer.wait(AGENT_MS / 1000)
            if news is not None:
                return news
    finally:
        gevent.killall(list(calls), block=False)
