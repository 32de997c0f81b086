"""The client's side: connections accepted, requests read from them, answers given."""

from __future__ import annotations

import errno
import select
from collections.abc import Callable
from contextlib import suppress
from itertools import islice

import gevent
import orjson
from gevent import socket
from gevent.event import Event

from spoolbarrow import interface as i
from spoolbarrow.config import Config
from spoolbarrow.net import http1, tcpinfo
from spoolbarrow.net.grace import Grace, grace
from spoolbarrow.net.host import Host
from spoolbarrow.net.http1 import Fault, Message
from spoolbarrow.net.log import log, unexpected
from spoolbarrow.net.overflow import Overflow
from spoolbarrow.net.request import Request
from spoolbarrow.net.taps import Side, Why

ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # what poll tells of a peer's end
CHAT, UP = b"/v1/chat/completions", b"/up"
RECV = 65536  # bytes read at once, into one buffer: they are parsed before any other greenlet runs
AHEAD = 4  # requests read ahead of the one that is served; then the client must wait
BACKLOG = 4096  # connections that the kernel holds for this process, as far as its own limit goes
SETTLED_MS = 100.0  # a connection idle so long may be closed for one that waits
HALF_MS = 500.0  # and a request half read so long refused for it
PATIENCE_MS = 2000.0  # a connection that has waited so long for room is told that there is none
ROOM_S = 0.02  # between looks for room
OUT_S = 0.1  # between tries to accept where the process is out of descriptors
ROOM_AT_ONCE = 16  # connections closed at once for those that wait
ACCEPT_AT_ONCE, ACCEPT_PAUSE_S = 8, 0.002  # a burst of connections leaves time for those that are served
DISCARD_PAUSE_S = 0.001  # between reads of what a client still sends after its error
SWEEP_S = 0.2
FRONT_S = 0.4  # after a drain began, the front sends connections so long at most (0.1 s to ask, 0.2 s more)
NEWCOMER_MS = 400.0  # then a connection that has said nothing yet still may, so long
DRAIN_S = 0.02  # between looks at what a drain's clock has reached
ABLE_S = 0.01  # between looks at whether this process can serve yet
EMPTYING_S = 0.05  # between looks at which connections are idle while clients are sent away
GONE_S = 0.05  # between looks for a client's end while it is not read: half of what it may go unseen
MAX_PATIENCE = 2.0  # of the class's deadline: nobody waits longer
REPEATS_STREAM = b"again"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n"


def read_facts(message: Message, config: Config) -> tuple[i.RequestArrived, float]:
    """What the decisions want to know of a request, and its client's patience; Fault 400 where malformed."""
    fields = message.fields
    if not fields.get(b"x-correlation-id"):
        raise Fault(400, "X-Correlation-Id: missing")
    cls = _named(fields, b"x-service-class", config.classes)
    tenant = _named(fields, b"x-account", config.tenants) if config.tenants else 0
    told: dict[bytes, bytes] = {}
    for pair in fields.get(b"x-facts", b"").split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if name and not equals:
            raise Fault(400, "X-Facts: not NAME=VALUE,...")
        told[name] = value
    lengths = (b"prompt_len", b"prefix_len", b"max_out")
    prompt, shared, answer = (_length(told, name, config) for name in lengths)
    left, of_class = fields.get(b"x-time-left-ms"), config.settings.classes[cls]
    budget = of_class.deadline_ms if left is None else _number(left, 10, "X-Time-Left-Ms")
    # Guards the timers: each stands till its request's deadline. A deadline grows twice as fast as the aim.
    if budget > MAX_PATIENCE * (of_class.deadline_ms + 2.0 * of_class.aim_ms_per_token * prompt):
        raise Fault(400, "X-Time-Left-Ms: out of range")
    facts = i.RequestArrived(
        request="",
        cls=cls,
        budget_ms=0.0,
        tenant=tenant,
        prompt_tokens=prompt,
        shared_tokens=shared,
        max_answer_tokens=answer,
        session=_number(fields.get(b"x-session-key", b"0"), 16, "X-Session-Key"),
        prefix=_number(told.get(b"prefix", b"0"), 16, "X-Facts: prefix"),
        resumed=fields.get(b"x-repeat") == REPEATS_STREAM,
    )
    return facts, budget


def _named(fields: dict[bytes, bytes], header: bytes, names: dict[str, int]) -> int:
    name = fields.get(header, b"").decode("latin-1")
    if name not in names:
        raise Fault(400, f"{header.decode()}: unknown value {name!r}")
    return names[name]


def _length(told: dict[bytes, bytes], name: bytes, config: Config) -> int:
    what = f"X-Facts: {name.decode()}"
    length = _number(told.get(name, b"0"), 10, what)
    if length > config.options.max_body:  # a token is a character at least
        raise Fault(400, f"{what}: out of range")
    return length


def _number(text: bytes, base: int, what: str) -> int:
    # Only plain digits: int() would also take signs, blanks and underscores.
    if not text.isalnum() or len(text) > 20:
        raise Fault(400, f"{what}: not a number")
    try:
        return int(text, base)
    except ValueError:
        raise Fault(400, f"{what}: not a number") from None


def _retry_after(ms: float) -> bytes:
    return b"Retry-After: %.3f" % (ms / 1000) if ms > 0 else b"Retry-After: 0"


class Exchange:
    """One request and its answer on a client's connection: the host's Answer."""

    def __init__(self, client: Client, message: Message) -> None:
        self.client, self.message = client, message
        self.request: Request | None = None
        self._begun = False
        # An answer late in a drain tells the client to come back by another connection.
        self._close = not message.keep_alive

    def peer(self) -> str:
        """The client's address; empty where it has gone."""
        try:
            address: str = self.client.sock.getpeername()[0]
        except OSError:
            return ""
        return address

    def gone(self) -> bool:
        """Whether its client has closed, reset or half-closed the connection."""
        return self.client.gone()

    def fail_fast(self, retry_after_ms: float, header: bytes = b"") -> None:
        """Declined: 503, with when to come back."""
        after = _retry_after(retry_after_ms)
        self.whole(503, "fail-fast: try again later", *((after, header) if header else (after,)))

    def fail(self, late: bool) -> None:
        """Failed: 504 at the deadline, else 502."""
        self.whole(504 if late else 502, "failed")

    def reject(self) -> None:
        """The endpoint can't use it: 400."""
        self._close = True
        self.whole(400, "no endpoint can use this request")

    def refuse(self, fault: Fault) -> None:
        """The message is not taken: its client is told why, and its connection ends."""
        # Guards the CPU: a client that repeats what is turned away must come back through the listener.
        self._close = True
        log("bad_request", status=fault.status, why=fault.reason)
        self.whole(fault.status, fault.reason, *fault.headers)

    def whole(self, status: int, reason: str, *headers: bytes) -> None:
        """A whole answer, written by a greenlet of its own: the caller must not wait for a slow client."""
        body = orjson.dumps({"error": {"message": reason, "code": status}}) if status != 200 else b"{}"
        closing = self._closing()
        pieces = http1.answer_pieces(status, body, closing, *headers)
        gevent.spawn(self._write_whole, pieces, closing)

    def pass_on(self, parts: list[bytes]) -> None:
        """Events of the stream, as they come; blocks while the client is slow."""
        pieces = []
        if not self._begun:
            self._begun = True
            self.message.body = b""  # nothing more is sent for it, and a stream may be long
            self.client.count()
            pieces.append(STREAM_HEAD)
            if self._closing() or not self.message.chunks:
                self._close = True
                pieces.append(b"Connection: close\r\n")
            pieces.append(b"Transfer-Encoding: chunked\r\n\r\n" if self.message.chunks else b"\r\n")
        for part in parts:
            pieces += (b"%x\r\n" % len(part), part, b"\r\n") if self.message.chunks else (part,)
        try:
            self.client.write(pieces)
        except OSError:
            self.client.lost()
            raise

    def end(self) -> None:
        """The last chunk."""
        pieces = [b"0\r\n\r\n"] if self.message.chunks else []
        gevent.spawn(self._write_whole, pieces, self._close)

    def closes(self) -> bool:
        """Whether its client was told that the connection ends with this answer."""
        return self._close

    def begun(self) -> None:
        """Another process of this router has written its head already."""
        self._begun = True

    def abort(self) -> None:
        """No last chunk: the connection's end tells the client that the stream broke."""
        self.client.break_off()

    def _closing(self) -> bool:
        """Whether the connection ends with this answer: never before what was sent behind it is answered."""
        going = self.client.inbound.closing or self.client.inbound.sent_away
        return self._close or (going and not self.client.asked_more())

    def _write_whole(self, pieces: list[bytes], closing: bool) -> None:
        try:
            self.client.write(pieces)
        except OSError:
            return self.client.lost()
        except Exception as error:
            unexpected("answer", error)
            return self.client.lost()
        self.client.served(closing)


class Client:
    """A client's connection: its greenlet reads all the time, so that a client that leaves is noticed."""

    def __init__(self, inbound: Inbound, sock: socket.socket) -> None:
        self.inbound, self.sock = inbound, sock
        self.exchange: Exchange | None = None
        self.number = inbound.host.taps.opened(Side.CLIENT, sock, inbound.host.now())
        self.since = inbound.host.now()  # it was opened or became idle, or a later request began
        self.fresh = True  # nothing was answered on it yet
        self.writing_since = 0.0  # when a write began that the client has not taken yet
        self._first_byte = 0.0
        self._arrived: list[float] = []
        options = inbound.config.options
        self._parser = http1.RequestParser(options.max_head, options.max_body)
        self._room = Event()
        self._held = 0
        self._closed = False
        self._paused = False  # its reader is to end without the connection
        self.reader: gevent.Greenlet[[], None] | None = None
        self.ending = False  # its last answer is written; only the client's end is waited for

    def idle(self) -> bool:
        """Whether nothing is under way on it, as far as was read; not while another process may take it."""
        gone = self._closed or self._paused
        return not (gone or self.exchange or self._parser.reading or self._parser.whole)

    def unread(self) -> bool:
        """Whether the kernel holds something that its client sent."""
        return not self._closed and http1.polled(self.sock, select.POLLIN) != 0

    def gone(self) -> bool:
        """Whether its client has closed, reset or half-closed it, whatever stands unread before that end.

        Never waits. Where the system does not tell, the client counts as there: its reader comes to the end.
        """
        if self._closed:
            return True
        told = http1.polled(self.sock, select.POLLIN | select.POLLRDHUP)
        if not told or told & ENDED:
            return told != 0
        # Guards against a system that tells of no half-close: the end is then what is read next.
        self.sock.settimeout(0.0)
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        finally:
            self.sock.settimeout(None)

    def answered(self) -> bool:
        """Whether its client's machine has all that was written to it."""
        return not tcpinfo.awaits_peer(self.sock)

    def asked_more(self) -> bool:
        """Whether its client sent something behind the request that is served."""
        return bool(self._parser.reading or self._parser.whole) or self.unread()

    def hurry(self, retry_after_ms: float) -> None:
        """Refuse a request that is still half read: there is no time left for the rest of it."""
        if self._parser.reading and self.exchange is None and not (self.ending or self.unread()):
            self._parser.fault = Fault(503, "no time for the rest", _retry_after(retry_after_ms))
            self._advance()

    def run(self) -> None:
        """Read until the client goes."""
        view = memoryview(self.inbound.buffer)
        try:
            while not self.ending:
                size = self.sock.recv_into(view)
                if not size:
                    break
                try:
                    self._fed(view[:size])
                except OSError:
                    raise
                except Exception as error:
                    unexpected("client", error)
                    self._parser.fault = Fault(500, "internal error")  # its client is told all the same
                    self._distrust()
                    self._advance()
                parser = self._parser
                while (parser.fault is not None or len(parser.whole) > AHEAD) and not self.ending:
                    self._room.clear()  # bounded: what follows a fault, or comes far ahead, is not read
                    if not self._room.wait(GONE_S) and parser.fault is None and self.gone():
                        return  # its end stands behind what is not read
                gevent.sleep(0)  # guards the others: a client that sends at full speed is always readable
            if self.ending:
                self._linger(view)
        except OSError:
            pass  # reset by the client, or closed by this side
        except Exception as error:
            unexpected("client", error)
        finally:
            if not self._paused:
                self.lost()

    def go_on(self) -> None:
        """Begin, or begin again, to read what the client sends."""
        self._paused = False
        self.reader = gevent.spawn(self.run)

    def pause(self) -> bool:
        """Stop reading, if the client has sent nothing that is not read and answered; whether it did."""
        parser = self._parser
        busy = self.ending or parser.reading or parser.whole or parser.fault is not None
        if busy or self.unread() or self.reader is None:
            return False
        self._paused = True
        self.reader.kill()
        return not self._closed

    def paused(self) -> bool:
        """Whether nobody reads: it is on its way to another process of this router."""
        return self._paused

    def detach(self) -> None:
        """The connection is another process's now: only this one's descriptor is closed."""
        self.exchange = None
        self.close(Why.DONE)
        self.count()

    def write(self, pieces: list[bytes]) -> None:
        """Write some of an answer; blocks while the client is slow."""
        self.writing_since = self.inbound.host.now()
        http1.send_pieces(self.sock, pieces)
        self.writing_since = 0.0

    def served(self, closing: bool) -> None:
        """The answer under way is written: go on to the next request."""
        self.exchange, self.fresh = None, False
        self.count()
        self.since = self.inbound.host.now()
        if closing:
            self._finish()
        else:
            self._advance()

    def break_off(self) -> None:
        """End the connection with what was written as the last.

        Guards events that its client has not had: closed over bytes that it sent meanwhile, the kernel would
        reset the connection, and what it still holds would go with it.
        """
        if self._closed or not (self.unread() or tcpinfo.awaits_peer(self.sock)):
            self.close()
        else:
            self._finish()

    def lost(self) -> None:
        """The client has gone, or must go: nothing more is read or written."""
        self.close()
        exchange, self.exchange = self.exchange, None
        self.count()
        if exchange is not None and exchange.request is not None:
            self.inbound.host.client_left(exchange.request)

    def close(self, why: Why | None = None) -> None:
        """End the connection; its reader, woken by that, does the rest."""
        if not self._closed:
            self._closed = self.ending = True
            if why is None:
                why = Why.DONE if self.exchange is None and not self._parser.reading else Why.BROKEN
            self.inbound.host.taps.closing(self.number, why)
            self._room.set()
            self.sock.close()
            self.inbound.gone(self)

    def overdue(self) -> None:
        """Its request did not become whole in time, or it asked nothing: tell it, and go on to its end.

        One that was answered before is closed without a word: that could pass for its next request's answer.
        """
        if self.fresh or self._parser.reading:
            self._parser.fault = Fault(408, "no whole request in time")
            self._advance()
        else:
            self.close(Why.IDLE)

    def _fed(self, data: memoryview) -> None:
        parser, now = self._parser, self.inbound.host.now()
        was_reading, had = parser.reading, len(parser.whole)
        parser.feed(data)
        self.count()
        if not was_reading:
            # What the kernel held while nobody read it has waited already: its client counts from sending.
            self._first_byte = now - tcpinfo.last_received_ms(self.sock)
        for _ in range(len(parser.whole) - had):
            self._arrived.append(self._first_byte)
            self._first_byte = now
        if parser.reading and self.inbound.held > self.inbound.config.max_held:
            # Guards the memory: bodies that never become whole count as well.
            parser.fault = parser.fault or Fault(503, "no room", b"Retry-After: 1")
        if parser.fault is not None:
            self._distrust()
        if self.exchange is None:
            if parser.awaits_continue:
                parser.awaits_continue = False
                http1.send_pieces(self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
            if parser.reading and not was_reading and not self.fresh:
                self.since = now
            self._advance()

    def _distrust(self) -> None:
        """What follows a request can't be read: its length was wrong, and it is not what its client meant.

        Guards against passing on a part of a request, or one hidden in another's body.
        """
        self._parser.whole.clear()
        request = self.exchange.request if self.exchange is not None else None
        if request is not None and not request.over and request.stream is None:
            self.exchange = None
            self.inbound.host.client_left(request)

    def _advance(self) -> None:
        """Serve the next request that is whole, or tell what is wrong with what came."""
        parser = self._parser
        if self.exchange is not None or self.ending:
            return
        if parser.whole:
            message = parser.whole.popleft()
            self._room.set()
            self.exchange = Exchange(self, message)
            try:
                self._serve(self.exchange, message, self._arrived.pop(0))
            except Fault as error:
                self._turned_away(message, "failed")
                self.exchange.refuse(error)
            except Exception as error:
                unexpected("inbound", error)
                self._turned_away(message, "failed")
                self.exchange.whole(500, "internal error")
        elif parser.fault is not None:
            self.exchange = Exchange(self, Message(keep_alive=False))
            self.exchange.refuse(parser.fault)

    def _serve(self, exchange: Exchange, message: Message, arrived: float) -> None:
        inbound, path = self.inbound, message.path()
        wanted = {CHAT: b"POST", UP: b"GET"}.get(path)
        if wanted is None:
            raise Fault(404, "no such path")
        if message.method != wanted:
            raise Fault(405, f"{path.decode()} takes {wanted.decode()}", b"Allow: " + wanted)
        if path == UP:
            return exchange.whole(200 if inbound.ready() else 503, "not ready")
        facts, budget = read_facts(message, inbound.config)
        name = message.fields[b"x-correlation-id"].decode("latin-1")
        if inbound.host.is_open(name):
            # Guards the request of that name: an endpoint could not tell the two apart.
            raise Fault(409, "X-Correlation-Id: a request of this name is open")
        settings, options = inbound.config.settings, inbound.config.options
        if inbound.refusing_ms is not None:
            self._turned_away(message, "fail_fast")
            return exchange.fail_fast(inbound.refusing_ms)
        # Guards against running out of memory or over what the platform allows to be open at once.
        if inbound.held > inbound.config.max_held or inbound.host.open_requests() >= settings.max_open:
            log("no_room", held=inbound.held, open=inbound.host.open_requests())
            self._turned_away(message, "fail_fast")
            return exchange.fail_fast(settings.max_retry_after_ms)
        deadline = arrived + budget - options.answer_margin_ms
        if deadline <= inbound.host.now():
            self._turned_away(message, "failed")
            return exchange.fail(True)
        if self.gone():  # also where its end came while the connection waited to be accepted
            self._turned_away(message, "left")
            return self.lost()
        exchange.request = inbound.host.submit(name, message, exchange, deadline, facts, self.number)

    def _turned_away(self, message: Message, how: str) -> None:
        """Tell whoever watches, where the request names a class."""
        taps, config = self.inbound.host.taps, self.inbound.config
        name = message.fields.get(b"x-service-class", b"").decode("latin-1")
        if taps.active and message.path() == CHAT and name in config.classes:
            taps.turned_away(config.classes[name], how)

    def count(self) -> None:
        """Keep the account of the bodies that this connection holds in memory."""
        held = self._parser.held() + (len(self.exchange.message.body) if self.exchange else 0)
        if self._closed:
            held = 0
        self.inbound.held += held - self._held
        self._held = held

    def _finish(self) -> None:
        """Say that nothing more comes, then let the reader see the client's end."""
        self.ending, self.since = True, self.inbound.host.now()
        self._room.set()
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _linger(self, view: memoryview) -> None:
        """Guards the answer: closed with bytes unread, the kernel would reset the connection under it."""
        with gevent.Timeout(self.inbound.config.options.linger_ms / 1000, False):  # type: ignore[arg-type]
            while self.sock.recv_into(view):
                gevent.sleep(DISCARD_PAUSE_S)


class Inbound:
    """The listener and the clients' connections."""

    def __init__(self, config: Config, host: Host) -> None:
        self.config, self.host = config, host
        self.draining = False  # no new connections should come
        self.succeeded = False  # another process of this router takes them
        self.closing = False  # nor are those that came kept
        self.refusing_ms: float | None = None  # nor is what comes on them taken: when to come back
        self.sent_away = False  # an operator wants no clients here for now
        self._emptying: gevent.Greenlet[[], None] | None = None
        self.held = 0  # bytes of bodies in memory
        self.buffer = bytearray(RECV)
        self._clients: set[Client] = set()
        self._overflow = Overflow(self.buffer)
        self._next: socket.socket | None = None  # accepted, and waiting for room
        self._out = False  # of descriptors, as far as is known
        self._listener: socket.socket | None = None
        self._inherited = False  # other processes accept from it, too
        self._accepting: gevent.Greenlet[[socket.socket, bool], None] | None = None
        self._leaving: gevent.Greenlet[..., None] | None = None  # it accepts the last that have come
        self._sweeper: gevent.Greenlet[[], None] | None = None

    def start(self, inherited: socket.socket | None = None, alone: bool = True) -> None:
        """Listen, or accept from a socket that listens already; OSError where the address can't be had.

        Where another process accepts from it (`alone` is false), this one begins once it can serve.
        """
        if inherited is None:
            self._listen(self.config)
        else:
            self._listener, self._inherited = inherited, True
            self._accepting = gevent.spawn(self._accept, inherited, alone)
        self._sweeper = gevent.spawn(self._sweep)

    def apply(self, config: Config) -> None:
        """Go by a new configuration; OSError, and nothing is changed, where its address can't be had."""
        if config.listen != self.config.listen:
            self._listen(config)
        self.config = config

    def _listen(self, config: Config) -> None:
        listener = http1.listen(config.listen, BACKLOG)
        self._stop_listening()
        self._listener, self._inherited = listener, False
        self._accepting = gevent.spawn(self._accept, listener, True)

    def ready(self) -> bool:
        """Whether clients may be sent here."""
        ending = self.draining and not self.succeeded
        begun = self.host.decides()
        return begun and not (ending or self.sent_away) and self.host.destinations.usable()

    def able(self) -> bool:
        """Whether this process could serve; also where operators' words keep clients or endpoints from it."""
        return not self.draining and self.host.destinations.told_usable()

    def send_away(self) -> None:
        """Have no clients until `take_back`: the front is told so, answers end connections, idle ones close.

        What was taken is answered, and long streams run on. It is not the end: that is `drain`.
        """
        if not self.sent_away:
            self.sent_away = True
            self._emptying = gevent.spawn(self._empty)

    def take_back(self) -> None:
        """Take clients again."""
        self.sent_away = False
        if self._emptying is not None:
            self._emptying.kill(block=False)
            self._emptying = None

    def _empty(self) -> None:
        # Not before the front has heard: closed sooner, clients would come back here.
        gevent.sleep(FRONT_S)
        while True:
            self._close_idle(self.host.now())
            gevent.sleep(EMPTYING_S)

    def drain(self, pass_on: Callable[[Client], bool] | None = None) -> None:
        """Answer what was taken and what still comes within the grace, then close what is idle.

        Clients may have nowhere else to go while routers are restarted one after the other, so those that
        have a connection may use it for a while after new ones go elsewhere; not where a stream that SIGKILL
        cuts off is lost to its client: what would be taken then is refused.
        A stream that outlasts the grace would break at SIGKILL, when the next router may be draining too:
        its client is let go early, while there is another one to go on with. For the same reason nothing
        is left without an answer.
        Where another process accepts from the same socket, the router goes on: nothing more is accepted here,
        and `pass_on` hands idle connections to that process. One that it does not take is ended as else.
        """
        self.succeeded = succeeded = pass_on is not None
        self.draining = True
        begun, times = self.host.now(), grace(self.config, succeeded)
        gevent.sleep(times.accept / 1000)
        self._stop_listening()
        passing = None if pass_on is None else gevent.spawn(self._pass_idle, pass_on, times.retry_after)
        while self._clients or not (self._leaving is None or self._leaving.ready()):
            try:
                self._end_what_is_due(self.host.now() - begun, times, passing is None or passing.ready())
            except Exception as error:  # what one connection runs into must not leave the others unanswered
                unexpected("drain", error)
            gevent.sleep(DRAIN_S)
        if passing is not None:
            passing.kill()

    def _end_what_is_due(self, passed: float, times: Grace, closes: bool) -> None:
        if passed >= times.refuse:
            self.refusing_ms = times.retry_after
        if passed >= times.keep:
            self.closing = True
            if closes:
                self._close_idle(self.host.now())
        if passed >= times.answer:
            self.host.answer_all(times.retry_after)
            for client in list(self._clients):
                client.hurry(times.retry_after)
        if self.config.resumes and passed >= times.move:
            self.host.move_streams()

    def _pass_idle(self, pass_on: Callable[[Client], bool], retry_after_ms: float) -> None:
        """Hand idle connections on until one is not taken.

        Not in the drain's own loop: a process that does not answer must not hold up its clock.
        """
        while all(pass_on(client) for client in list(self._clients) if client.idle() and not client.ending):
            gevent.sleep(DRAIN_S)
        self.closing = True  # answers end connections: clients come back by others
        if not self.config.resumes:
            self.refusing_ms = retry_after_ms  # nor could a stream that begins now pass on

    def _close_idle(self, now: float) -> None:
        """Close what is idle, but for one that came just now: its first request is likely on its way.

        Guards requests on their way: what the kernel holds unread is read first. One that crosses the close
        is not read, so that its client may send it again: with only this side's end said, it would be read
        and could not be answered. Nor is one closed that still takes in its answer: what crosses would have
        the kernel reset the connection under it.
        """
        for client in [c for c in self._clients if c.idle() and not c.ending and not c.unread()]:
            if client.answered() and (not client.fresh or client.since < now - NEWCOMER_MS):
                client.close(Why.ENDED)

    def close(self) -> None:
        """Drop everything at once."""
        gevent.killall([each for each in (self._accepting, self._leaving, self._sweeper) if each is not None])
        if self._listener is not None:
            self._listener.close()
        if self._next is not None:
            self._next.close()
        self._overflow.close()
        for client in list(self._clients):
            client.close(Why.ENDED)

    def take_idle(self, sock: socket.socket) -> Client:
        """A connection that another process of this router accepted; nothing is read yet."""
        client = Client(self, sock)
        client.fresh = False
        self._clients.add(client)
        return client

    def take_over(self, sock: socket.socket, chunks: bool, closing: bool) -> Exchange:
        """A connection on which another process of this router has begun an answer; nothing is read yet."""
        client = self.take_idle(sock)
        client.exchange = Exchange(client, Message(chunks=chunks, keep_alive=not closing))
        client.exchange.begun()
        return client.exchange

    def gone(self, client: Client) -> None:
        """A client's connection is closed."""
        self._clients.discard(client)

    def _accept(self, listener: socket.socket, at_once: bool) -> None:
        accepted = 0
        while not (at_once or self.able()):
            gevent.sleep(ABLE_S)
        while True:
            self._take(listener)
            accepted += 1
            if accepted % ACCEPT_AT_ONCE == 0:
                gevent.sleep(ACCEPT_PAUSE_S)

    def _take(self, listener: socket.socket) -> None:
        """The next connection that comes: taken as soon as there is room, or told that there is none.

        BlockingIOError where the listener does not wait and none has come. Nobody waits long: the one in
        front is told first, and where it came long ago those behind it have waited hardly less.
        """
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            raise
        except OSError as error:
            return self._cannot_accept(error)
        self._out = False
        self._seat(sock)

    def _seat(self, sock: socket.socket) -> None:
        """Serve a connection as soon as there is room, or tell it that there is none."""
        self._next, since = sock, self.host.now()
        while len(self._clients) >= self.config.max_inbound:
            if self._make_room():
                continue
            if max(self.host.now() - since, tcpinfo.last_received_ms(sock)) >= PATIENCE_MS:
                self._next = None
                return self._overflow.refuse(sock, self.host.now())
            gevent.sleep(ROOM_S)
        self._next = None
        self._admit(sock)

    def _cannot_accept(self, error: OSError) -> None:
        """Those waiting to be accepted wait on; the loop must not spin, nor fill the log."""
        if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            self._make_room()
        if not self._out:
            self._out = True
            log("accept_paused", why=str(error))
        gevent.sleep(OUT_S)

    def _admit(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            waited = tcpinfo.last_received_ms(sock)
        except OSError:  # its client has gone
            return sock.close()
        sock.settimeout(None)
        client = Client(self, sock)
        client.since -= waited  # in the kernel's queue: a silent one has had that time already
        self._clients.add(client)
        client.go_on()

    def _stop_listening(self) -> None:
        """Accept nothing that comes from now on, but for what another process does not."""
        if self._accepting is not None and self._listener is not None:
            self._accepting.kill()
            waiting, self._next = self._next, None
            listener = None if self.succeeded else self._listener
            self._leaving = gevent.spawn(self._let_go, listener, self._inherited, waiting)

    def _let_go(self, listener: socket.socket | None, inherited: bool, waiting: socket.socket | None) -> None:
        """Guards requests on connections that the kernel has accepted: a listener's end resets them."""
        if waiting is not None:
            self._seat(waiting)
        if listener is None:
            return
        listener.settimeout(0.0)
        with suppress(BlockingIOError):
            while True:
                self._take(listener)
        # One that was inherited stays as long as the process: closed here, the others' would still wake
        # this one's event loop for each connection.
        if not inherited:
            listener.close()

    def _make_room(self) -> bool:
        """Close what has longest had nothing under way: first those that have their last answer.

        Then those that never asked anything, the oldest first. Where there are none, requests that are still
        half read are refused, which makes room soon.
        """
        # Not one just opened or just used: its next request is likely on its way. Nor one that has not taken
        # in its answer: what crosses the close would have the kernel reset the connection under that.
        now = self.host.now()
        settled = [c for c in self._clients if c.since < now - SETTLED_MS and (c.ending or c.idle())]
        settled.sort(key=lambda c: (not c.ending, not c.fresh, c.since))
        leave = (c for c in settled if not c.unread() and c.answered())  # the kernel is asked of few
        first = list(islice(leave, ROOM_AT_ONCE))
        for client in first:
            client.close(Why.ROOM)
        if not first:
            for client in [c for c in self._clients if c.since < now - HALF_MS]:
                client.hurry(self.config.settings.max_retry_after_ms)
        return bool(first)

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_S)
            try:
                self._overflow.sweep(self.host.now())
                self._close_overdue()
            except Exception as error:  # without this loop, silent connections would take all the room
                unexpected("sweep", error)

    def _close_overdue(self) -> None:
        """Close connections that stood idle too long, or whose request never became whole."""
        options, now = self.config.options, self.host.now()
        for client in [c for c in self._clients if 0 < c.writing_since < now - options.stall_ms]:
            log("client_stalled")
            client.close()
        # One that was told to go and neither goes nor sends anything: its reader would wait for ever.
        for client in [c for c in self._clients if c.ending and now - c.since > options.linger_ms]:
            client.close()
        for client in [c for c in self._clients if not (c.exchange or c.ending or c.paused())]:
            used = client.idle() and not client.fresh
            limit = options.keep_alive_ms if used else options.head_timeout_ms
            # Never one of whose request more has come in, or its beginning: its reader runs next.
            if now - client.since > limit and not client.unread():
                client.overdue()
