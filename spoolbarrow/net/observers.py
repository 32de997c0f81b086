"""Observers of serving: notifies them of connection, request and attempt events.

Owns the list of observers and the numbers of connections. An observer must not block; if it raises, the fault
is logged and it is removed. It must read its arguments at once and never change them; it may read options of
a socket until `connection_closing` returns. Without observers, a hook costs one attribute look-up.
"""

from __future__ import annotations

import time
from enum import Enum
from itertools import count
from typing import NamedTuple

from gevent.socket import socket

from spoolbarrow import interface as i
from spoolbarrow.net.log import log_exception
from spoolbarrow.net.request import Attempt, Request

Address = tuple[str, int]


class Side(Enum):
    """The peer of a connection."""

    CLIENT = 0  # the client opened it
    ENDPOINT = 1  # this router opened it


class CloseReason(Enum):
    """Why a connection was closed, as seen from this side."""

    DONE = 0  # either side closed it without a request in flight
    IDLE = 1  # it was idle too long
    BROKEN = 2  # it ended during a request or response
    ROOM = 3  # it was closed to make room
    ENDED = 4  # the router drains or ends


class OpenConnection(NamedTuple):
    """An established connection; `opened_at` in ms on the host's clock."""

    number: int
    side: Side
    local: Address
    peer: Address
    endpoint: str
    opened_at: float
    sock: socket


class Observer:
    """Base class of observers; hooks do nothing unless overridden."""

    def connection_opened(self, opened: OpenConnection) -> None:
        """A connection was opened."""

    def connection_closing(self, number: int, why: CloseReason) -> None:
        """A connection is about to be closed; its socket can be read for the last time."""

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """The host accepted a request."""

    def attempt_sent(self, attempt: Attempt) -> None:
        """The last byte of an attempt was written to a connection."""

    def attempt_started(self, attempt: Attempt) -> None:
        """The first event of the serving attempt has arrived."""

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Parts of the stream were written to the client."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """An attempt has its outcome."""

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """An endpoint reported its load."""

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """A probe has ended after `lag` ms, answered or not."""

    def request_answered(self, request: Request) -> None:
        """A request has its `answer_kind`; attempts may still be running."""

    def request_declined(self, cls: int, how: str) -> None:
        """A request of a known class was answered but not accepted; `how` as in `Request.answer_kind`."""

    def request_over(self, request: Request, now: float) -> None:
        """A request is answered and its last attempt has ended."""


class Observers:
    """Calls the hook of the same name on each observer."""

    def __init__(self) -> None:
        self.active = False
        self._observers: tuple[Observer, ...] = ()
        self._open: dict[int, OpenConnection] = {}  # for observers added later
        # Unix seconds in the high bits, so that numbers are not reused after a restart.
        self._numbers = count((int(time.time()) << 24) + 1)

    def add(self, observer: Observer) -> None:
        """Add an observer and notify it of the connections that are open already."""
        self._set((*self._observers, observer))
        for opened in list(self._open.values()):
            try:
                observer.connection_opened(opened)
            except Exception as error:
                return self._failed(observer, error)

    def remove(self, observer: Observer) -> None:
        """Remove an observer."""
        self._set(tuple(o for o in self._observers if o is not observer))

    def _set(self, observers: tuple[Observer, ...]) -> None:
        self._observers, self.active = observers, bool(observers)

    def _failed(self, observer: Observer, error: Exception) -> None:
        """Remove an observer that raised, since the fault would probably recur with each request."""
        self.remove(observer)
        log_exception(f"observer {type(observer).__name__}", error)

    def connection_opened(self, side: Side, sock: socket, at: float, endpoint: str = "") -> int:
        """Register a new connection and return its number."""
        number = next(self._numbers)
        try:
            opened = OpenConnection(number, side, sock.getsockname(), sock.getpeername(), endpoint, at, sock)
        except OSError:
            return number  # reset already, so that its addresses are unknown
        self._open[number] = opened
        if self.active:
            for observer in self._observers:
                try:
                    observer.connection_opened(opened)
                except Exception as error:
                    self._failed(observer, error)
        return number

    def connection_closing(self, number: int, why: CloseReason) -> None:
        """A connection is about to be closed."""
        self._open.pop(number, None)
        for observer in self._observers:
            try:
                observer.connection_closing(number, why)
            except Exception as error:
                self._failed(observer, error)

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """The host accepted a request."""
        for observer in self._observers:
            try:
                observer.request_taken(request, facts)
            except Exception as error:
                self._failed(observer, error)

    def attempt_sent(self, attempt: Attempt) -> None:
        """The last byte of an attempt was written."""
        for observer in self._observers:
            try:
                observer.attempt_sent(attempt)
            except Exception as error:
                self._failed(observer, error)

    def attempt_started(self, attempt: Attempt) -> None:
        """The serving attempt's stream has started."""
        for observer in self._observers:
            try:
                observer.attempt_started(attempt)
            except Exception as error:
                self._failed(observer, error)

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Parts of the stream were written."""
        for observer in self._observers:
            try:
                observer.parts_forwarded(request, parts)
            except Exception as error:
                self._failed(observer, error)

    def attempt_ended(self, attempt: Attempt) -> None:
        """An attempt has its outcome."""
        for observer in self._observers:
            try:
                observer.attempt_ended(attempt)
            except Exception as error:
                self._failed(observer, error)

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """An endpoint reported its load."""
        for observer in self._observers:
            try:
                observer.probe_answered(endpoint, report)
            except Exception as error:
                self._failed(observer, error)

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """A probe has ended."""
        for observer in self._observers:
            try:
                observer.probe_ended(endpoint, outcome, lag)
            except Exception as error:
                self._failed(observer, error)

    def request_answered(self, request: Request) -> None:
        """A request has its `answer_kind`."""
        for observer in self._observers:
            try:
                observer.request_answered(request)
            except Exception as error:
                self._failed(observer, error)

    def request_declined(self, cls: int, how: str) -> None:
        """A request was answered but not accepted."""
        for observer in self._observers:
            try:
                observer.request_declined(cls, how)
            except Exception as error:
                self._failed(observer, error)

    def request_over(self, request: Request, now: float) -> None:
        """A request is answered and its last attempt has ended."""
        for observer in self._observers:
            try:
                observer.request_over(request, now)
            except Exception as error:
                self._failed(observer, error)
