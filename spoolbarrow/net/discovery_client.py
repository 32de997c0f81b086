"""Calls to discovery: the whole list, and a watch on it that is broken once it has fallen silent.

This module opens the connections to discovery and limits how long each call waits (docs/design.md, "The
list's clock"). What a list means, and when to call, is up to the caller: `net/discovery_watch.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from spoolbarrow.config import Address, HostList, Options
from spoolbarrow.net import http1
from spoolbarrow.net.json_objects import JsonObjectSplitter
from spoolbarrow.net.log import log_exception

RECV = 65536
MAX_LINE = 1 << 22  # a longer one is no list
CONNECT_MS = 1200.0  # one packet lost is sent again after 1 s
MOST_CALLS = 2  # of one router that are open at once
AGENT_MS, AGENT_CALLS = 150.0, 8  # between calls to an agent that does not answer; so many at once
AGENT_ANSWER_MS = 1000.0  # an agent answers at once; one that takes so long is silent
_decoder = msgspec.json.Decoder(HostList)
T = TypeVar("T")


class BadList(Exception):
    """An answer that is no list: torn, too long, of the wrong type, or older (`OldList`)."""


class OldList(BadList):
    """A list of an older version than is known."""


FAULTS = (OSError, http1.HttpError, BadList)  # what a call may end in


class Silent(Exception):
    """A watch has said nothing whole for too long; its connection may still be open."""


def whole(discovery: Address, options: Options, limit_ms: float) -> HostList:
    """The whole list, within `limit_ms`; one of FAULTS where it does not come."""
    parser, buffer, body = http1.ResponseParser(options.max_head), bytearray(RECV), b""
    late = gevent.Timeout(limit_ms / 1000, TimeoutError("no whole list in time"))
    with late, http1.connect(discovery, min(CONNECT_MS, limit_ms) / 1000) as sock:
        http1.send_pieces(sock, http1.get_pieces(b"/discovery/hosts", discovery))
        while not parser.complete:
            parser.read(sock, buffer)
            _is_well(parser)
            body += b"".join(parser.take_body())
            if len(body) > MAX_LINE:
                raise BadList(f"longer than {MAX_LINE} bytes")
    news = _decode(body)
    if not news.snapshot:
        raise BadList("no `snapshot`: it is not the whole list")
    return news


def _is_well(parser: http1.ResponseParser) -> None:
    if parser.head_complete and parser.status != 200:
        raise http1.HttpError(502, f"discovery answered {parser.status}")


def _decode(text: bytes) -> HostList:
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadList(str(error)) from error


def follow(
    discovery: Address,
    options: Options,
    index: int,
    now: Callable[[], float],
    limit_ms: float,
    headed: Callable[[], object] = lambda: None,
) -> Iterator[HostList | None]:
    """What a watch says from version `index` on, None for an empty line; ends where the watch does.

    Its answer begins within `limit_ms` (TimeoutError), each further word within `options.watch_silence_ms`
    of the one before it: Silent. A word is an empty line or a whole list: bytes that come, or lines of a
    list, say nothing before it is whole. `now` counts ms. `headed` is called when the answer has begun. Any
    of FAULTS where the call fails.
    """
    parser, buffer = http1.ResponseParser(options.max_head), bytearray(RECV)
    messages, heard = JsonObjectSplitter(MAX_LINE), now()
    with http1.connect(discovery, min(CONNECT_MS, limit_ms) / 1000) as sock:
        target = b"/discovery/hosts?stream=1&index=%d" % index
        http1.send_pieces(sock, http1.get_pieces(target, discovery))
        while not parser.complete:
            begun = parser.head_complete
            limit = options.watch_silence_ms if begun else limit_ms
            broken: http1.HttpError | None = None
            try:
                in_time = _read(parser, sock, buffer, heard + limit - now())
            except http1.HttpError as error:
                in_time, broken = True, error  # what came whole before it in the same read is told
            if not in_time:
                if begun:
                    raise Silent
                raise TimeoutError("no answer in time")
            _is_well(parser)
            if parser.head_complete != begun:
                heard = now()
                headed()
            for word in _cut(messages, b"".join(parser.take_body())):
                heard = now()
                yield _decode(word) if word else None
            if broken is not None:
                raise broken
    _cut_end(messages)


def _cut(messages: JsonObjectSplitter, data: bytes) -> Iterator[bytes]:
    try:
        yield from messages.feed(data)
    except http1.HttpError as error:
        raise BadList(str(error)) from error


def _cut_end(messages: JsonObjectSplitter) -> None:
    try:
        messages.end()
    except http1.HttpError as error:
        raise BadList(str(error)) from error


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


def first_of(
    call: Callable[[Callable[[], object]], T],
    pause_ms: Callable[[], float],
    now: Callable[[], float],
    lost: Callable[[Exception], object],
    version: Callable[[T], int] | None = None,
) -> T:
    """What the first of several calls gives that is answered; the others are given up then.

    The next begins `pause_ms` after the one before it, which stays open: a service that hung may answer only
    calls that come after its return. None begins beside an answer that has begun (a call calls what it is
    given then), nor beside MOST_CALLS others. Of answers that are there together it gives the one of the
    highest `version`: all of them are told. `lost` hears why a call failed while another was open; the last
    one's error is raised: Silent or any of FAULTS.
    """
    ended: Queue[tuple[int, T | Exception]] = Queue()
    calls: dict[int, gevent.Greenlet[[int], None]] = {}
    begun: set[int] = set()  # their answers have

    def run(number: int) -> None:
        try:
            ended.put((number, call(lambda: begun.add(number))))
        except Exception as error:
            ended.put((number, error))

    made, due = 0, now()
    try:
        while True:
            full = bool(begun) or len(calls) >= MOST_CALLS
            if now() >= due and not full:
                made += 1
                calls[made] = gevent.spawn(run, made)
                due = now() + pause_ms()
                continue
            try:
                number, found = ended.get(timeout=None if full else max(1.0, due - now()) / 1000)
            except Empty:
                continue
            if not isinstance(found, Exception):
                return found if version is None else max([found, *_answers(ended)], key=version)
            del calls[number]
            begun.discard(number)
            if not calls:
                raise found
            lost(found)
    finally:
        gevent.killall(list(calls.values()), block=False)


def _answers(ended: Queue[tuple[int, T | Exception]]) -> list[T]:
    """What further calls have been answered with by now."""
    found: list[T] = []
    while not ended.empty():
        one = ended.get_nowait()[1]
        if not isinstance(one, Exception):
            found.append(one)
    return found


def ask_agent(discovery: Address, options: Options) -> HostList:
    """The whole list from an agent on this machine, asked again and again until it answers.

    An agent answers at once and at no cost, or is silent while discovery is down, and what it has counts as
    told at once when that is back. So no call that waits is given up for the next one: the first answer wins;
    BadList where it is none.
    """
    answer: AsyncResult[HostList | BadList] = AsyncResult()
    calls: set[gevent.Greenlet[[], None]] = set()

    def call() -> None:
        try:
            news = whole(discovery, options, AGENT_MS * AGENT_CALLS)
            had = answer.value  # of a call that was answered in the same turn
            if not isinstance(had, HostList) or had.index < news.index:
                answer.set(news)
        except BadList as error:
            if not answer.ready():
                answer.set(error)
        except FAULTS:
            pass  # the next call is on its way
        except Exception as error:
            log_exception("agent", error)

    try:
        while True:
            calls = {one for one in calls if not one.dead}
            if len(calls) < AGENT_CALLS:
                calls.add(gevent.spawn(call))
            news = answer.wait(AGENT_MS / 1000)
            if isinstance(news, BadList):
                raise news
            if news is not None:
                return news
    finally:
        gevent.killall(list(calls), block=False)
