"""What happens on the sockets, told to observers: the one seam between serving and what only watches it.

Owns the observers and the numbers of connections; what observers do with what they hear is theirs. An
observer may neither wait nor raise into serving: a fault of one is logged, and it hears nothing more. What it
is handed is to be read at once, and never changed; of a socket it may read options until `connection_closing`
returns. With no observer a hook costs one look-up of an attribute.
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
    """Who is at the other end of a connection."""

    CLIENT = 0  # a client opened it
    ENDPOINT = 1  # this router opened it


class CloseReason(Enum):
    """What ended a connection, as this side sees it."""

    DONE = 0  # either side closed it with nothing under way
    IDLE = 1  # it stood idle too long
    BROKEN = 2  # it ended in the middle of something
    ROOM = 3  # it was closed to make room
    ENDED = 4  # the router ends


class OpenConnection(NamedTuple):
    """A connection that came up; `at` in ms on the host's clock."""

    number: int
    side: Side
    local: Address
    peer: Address
    endpoint: str
    opened_at: float
    sock: socket


class Observer:
    """Hears what happens; each hook does nothing unless it is overridden."""

    def connection_opened(self, opened: OpenConnection) -> None:
        """A connection is up."""

    def connection_closing(self, number: int, why: CloseReason) -> None:
        """A connection is about to be closed: its socket can be read for the last time."""

    def request_taken(self, request: Request, facts: i.RequestArrived) -> None:
        """The host took a request."""

    def attempt_sent(self, attempt: Attempt) -> None:
        """An attempt's last byte is written to a connection."""

    def attempt_started(self, attempt: Attempt) -> None:
        """The first event of the attempt that is the client's has come."""

    def parts_forwarded(self, request: Request, parts: list[bytes]) -> None:
        """Parts of the stream were written to the client."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """An attempt has its outcome."""

    def probe_answered(self, endpoint: str, report: i.Report) -> None:
        """An endpoint told its load."""

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """A probe has its outcome, after `lag` ms, answered or not."""

    def request_answered(self, request: Request) -> None:
        """What a request comes to is settled, in `answered`; attempts may still be out."""

    def request_declined(self, cls: int, how: str) -> None:
        """A request of a known class was answered without being taken; `how` as in `Request.answered`."""

    def request_over(self, request: Request, now: float) -> None:
        """A request is answered and its last attempt has ended; nothing more happens to it."""


class Observers:
    """The observers; each hook of theirs is called here by the same name."""

    def __init__(self) -> None:
        self.active = False
        self._observers: tuple[Observer, ...] = ()
        self._open: dict[int, OpenConnection] = {}  # for observers that come later
        # Seconds in front: numbers are not used again after a restart.
        self._numbers = count((int(time.time()) << 24) + 1)

    def add(self, observer: Observer) -> None:
        """Begin to tell an observer; the connections that are open already come first."""
        self._set((*self._observers, observer))
        for opened in list(self._open.values()):
            try:
                observer.connection_opened(opened)
            except Exception as error:
                return self._failed(observer, error)

    def remove(self, observer: Observer) -> None:
        """Tell it nothing more."""
        self._set(tuple(o for o in self._observers if o is not observer))

    def _set(self, observers: tuple[Observer, ...]) -> None:
        self._observers, self.active = observers, bool(observers)

    def _failed(self, observer: Observer, error: Exception) -> None:
        """Guards serving against an observer's fault: it would come again with each request."""
        self.remove(observer)
        log_exception(f"observer {type(observer).__name__}", error)

    def connection_opened(self, side: Side, sock: socket, at: float, endpoint: str = "") -> int:
        """A connection came up: its number."""
        number = next(self._numbers)
        try:
            told = OpenConnection(number, side, sock.getsockname(), sock.getpeername(), endpoint, at, sock)
        except OSError:
            return number  # reset already: there is no telling from where it came
        self._open[number] = told
        if self.active:
            for observer in self._observers:
                try:
                    observer.connection_opened(told)
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
        """The host took a request."""
        for observer in self._observers:
            try:
                observer.request_taken(request, facts)
            except Exception as error:
                self._failed(observer, error)

    def attempt_sent(self, attempt: Attempt) -> None:
        """An attempt's last byte is written."""
        for observer in self._observers:
            try:
                observer.attempt_sent(attempt)
            except Exception as error:
                self._failed(observer, error)

    def attempt_started(self, attempt: Attempt) -> None:
        """The client's stream has begun."""
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
        """An endpoint told its load."""
        for observer in self._observers:
            try:
                observer.probe_answered(endpoint, report)
            except Exception as error:
                self._failed(observer, error)

    def probe_ended(self, endpoint: str, outcome: i.Outcome, lag: float) -> None:
        """A probe has its outcome."""
        for observer in self._observers:
            try:
                observer.probe_ended(endpoint, outcome, lag)
            except Exception as error:
                self._failed(observer, error)

    def request_answered(self, request: Request) -> None:
        """What a request comes to is settled."""
        for observer in self._observers:
            try:
                observer.request_answered(request)
            except Exception as error:
                self._failed(observer, error)

    def request_declined(self, cls: int, how: str) -> None:
        """A request was answered without being taken."""
        for observer in self._observers:
            try:
                observer.request_declined(cls, how)
            except Exception as error:
                self._failed(observer, error)

    def request_over(self, request: Request, now: float) -> None:
        """Nothing more happens to a request."""
        for observer in self._observers:
            try:
                observer.request_over(request, now)
            except Exception as error:
                self._failed(observer, error)
