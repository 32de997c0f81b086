"""Makes the calls to discovery: for the whole list, and for a watch on it that ends once it is idle too long.

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

RECV_BYTES = 65536
MAX_LIST_BYTES = 1 << 22  # longer answers are invalid
CONNECT_TIMEOUT_MS = 1200.0  # enough to lose one packet, which is sent again after 1 s
MAX_CALLS = 2  # open at once, of one router
AGENT_RETRY_MS, MAX_AGENT_CALLS = 150.0, 8  # interval between calls to an unresponsive agent; open at once
AGENT_TIMEOUT_MS = 1000.0  # an agent answers at once; one that takes this long is unresponsive
_decoder = msgspec.json.Decoder(HostList)
T = TypeVar("T")


class BadList(Exception):
    """An answer that is not a valid list: truncated, too long, of the wrong type, or outdated (`OldList`)."""


class OldList(BadList):
    """A list of an older version than the known one."""


CALL_ERRORS = (OSError, http1.HttpError, BadList)  # that a call may raise


class WatchIdle(Exception):
    """A watch has sent no complete update for too long; its connection may still be open."""


def fetch_list(discovery: Address, options: Options, limit_ms: float) -> HostList:
    """The whole list, within `limit_ms`; raises one of CALL_ERRORS if it does not arrive."""
    parser, buffer, body = http1.ResponseParser(options.max_head), bytearray(RECV_BYTES), b""
    late = gevent.Timeout(limit_ms / 1000, TimeoutError("no whole list in time"))
    with late, http1.connect(discovery, min(CONNECT_TIMEOUT_MS, limit_ms) / 1000) as sock:
        http1.send_pieces(sock, http1.get_pieces(b"/discovery/hosts", discovery))
        while not parser.complete:
            parser.read(sock, buffer)
            _check_status(parser)
            body += b"".join(parser.take_body())
            if len(body) > MAX_LIST_BYTES:
                raise BadList(f"longer than {MAX_LIST_BYTES} bytes")
    host_list = _decode(body)
    if not host_list.snapshot:
        raise BadList("`snapshot` is not set: it is not the whole list")
    return host_list


def _check_status(parser: http1.ResponseParser) -> None:
    if parser.head_complete and parser.status != 200:
        raise http1.HttpError(502, f"discovery answered {parser.status}")


def _decode(text: bytes) -> HostList:
    try:
        return _decoder.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadList(str(error)) from error


def watch_list(
    discovery: Address,
    options: Options,
    index: int,
    now: Callable[[], float],
    limit_ms: float,
    on_head: Callable[[], object] = lambda: None,
) -> Iterator[HostList | None]:
    """Yield the updates of a watch from version `index` on, None for an empty line, until the watch ends.

    The answer must begin within `limit_ms` (TimeoutError) and each further update must follow the one before
    it within `options.watch_silence_ms` (WatchIdle). An update is an empty line or a complete list: partial
    lists do not count. `now` counts ms. `on_head` is called when the answer has begun. Raises any of
    CALL_ERRORS if the call fails.
    """
    parser, buffer = http1.ResponseParser(options.max_head), bytearray(RECV_BYTES)
    messages, heard = JsonObjectSplitter(MAX_LIST_BYTES), now()
    with http1.connect(discovery, min(CONNECT_TIMEOUT_MS, limit_ms) / 1000) as sock:
        target = b"/discovery/hosts?stream=1&index=%d" % index
        http1.send_pieces(sock, http1.get_pieces(target, discovery))
        while not parser.complete:
            had_head = parser.head_complete
            limit = options.watch_silence_ms if had_head else limit_ms
            broken: http1.HttpError | None = None
            try:
                in_time = _read_in_time(parser, sock, buffer, heard + limit - now())
            except http1.HttpError as error:
                in_time, broken = True, error  # complete updates before it in the same read are still yielded
            if not in_time:
                if had_head:
                    raise WatchIdle
                raise TimeoutError("no answer in time")
            _check_status(parser)
            if parser.head_complete != had_head:
                heard = now()
                on_head()
            for update in _split_objects(messages, b"".join(parser.take_body())):
                heard = now()
                yield _decode(update) if update else None
            if broken is not None:
                raise broken
    _end_objects(messages)


def _split_objects(messages: JsonObjectSplitter, data: bytes) -> Iterator[bytes]:
    try:
        yield from messages.feed(data)
    except http1.HttpError as error:
        raise BadList(str(error)) from error


def _end_objects(messages: JsonObjectSplitter) -> None:
    try:
        messages.end()
    except http1.HttpError as error:
        raise BadList(str(error)) from error


def _read_in_time(
    parser: http1.ResponseParser, sock: socket.socket, buffer: bytearray, left_ms: float
) -> bool:
    """Read and parse the next bytes; False if none arrive in time.

    A pause of this process does not count as idleness: gevent handles readable sockets before timeouts.
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


def first_answer(
    call: Callable[[Callable[[], object]], T],
    pause_ms: Callable[[], float],
    now: Callable[[], float],
    on_failure: Callable[[Exception], object],
    version: Callable[[T], int] | None = None,
) -> T:
    """The first answer of several concurrent calls; the other calls are cancelled then.

    Each call starts `pause_ms` after the one before it, which stays open: a service that hung may answer
    only calls that are made after it recovered. No call starts while an answer has begun (calls report that
    through their argument) or MAX_CALLS are open. Of answers that are ready together, the one of the highest
    `version` counts. `on_failure` gets the error of a call that failed while another was open; the error of
    the last one is raised: WatchIdle or any of CALL_ERRORS.
    """
    ended: Queue[tuple[int, T | Exception]] = Queue()
    calls: dict[int, gevent.Greenlet[[int], None]] = {}
    answering: set[int] = set()  # calls whose answers have begun

    def run(number: int) -> None:
        try:
            ended.put((number, call(lambda: answering.add(number))))
        except Exception as error:
            ended.put((number, error))

    call_count, next_call_at = 0, now()
    try:
        while True:
            full = bool(answering) or len(calls) >= MAX_CALLS
            if now() >= next_call_at and not full:
                call_count += 1
                calls[call_count] = gevent.spawn(run, call_count)
                next_call_at = now() + pause_ms()
                continue
            try:
                number, found = ended.get(timeout=None if full else max(1.0, next_call_at - now()) / 1000)
            except Empty:
                continue
            if not isinstance(found, Exception):
                return found if version is None else max([found, *_ready_answers(ended)], key=version)
            del calls[number]
            answering.discard(number)
            if not calls:
                raise found
            on_failure(found)
    finally:
        gevent.killall(list(calls.values()), block=False)


def _ready_answers(ended: Queue[tuple[int, T | Exception]]) -> list[T]:
    """Answers of further calls that are ready by now."""
    found: list[T] = []
    while not ended.empty():
        item = ended.get_nowait()[1]
        if not isinstance(item, Exception):
            found.append(item)
    return found


def ask_agent(discovery: Address, options: Options) -> HostList:
    """The whole list from an agent on this machine, calling again until one call is answered.

    An agent answers at once and at no cost, or not at all while discovery is down; its list counts as known
    from the moment that it is back. So no waiting call is cancelled for the next one: the first answer wins.
    Raises BadList if that is invalid.
    """
    answer: AsyncResult[HostList | BadList] = AsyncResult()
    calls: set[gevent.Greenlet[[], None]] = set()

    def call() -> None:
        try:
            host_list = fetch_list(discovery, options, AGENT_RETRY_MS * MAX_AGENT_CALLS)
            had = answer.value  # of a call answered in the same loop iteration
            if not isinstance(had, HostList) or had.index < host_list.index:
                answer.set(host_list)
        except BadList as error:
            if not answer.ready():
                answer.set(error)
        except CALL_ERRORS:
            pass  # the next call follows
        except Exception as error:
            log_exception("agent", error)

    try:
        while True:
            calls = {item for item in calls if not item.dead}
            if len(calls) < MAX_AGENT_CALLS:
                calls.add(gevent.spawn(call))
            host_list = answer.wait(AGENT_RETRY_MS / 1000)
            if isinstance(host_list, BadList):
                raise host_list
            if host_list is not None:
                return host_list
    finally:
        gevent.killall(list(calls), block=False)
