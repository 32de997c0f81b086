"""A client's request and its attempts: what both the host and the endpoints know of them.

Owns the account of what became of each. Who may change it: the host decides when a request is over and an
attempt has ended; endpoints note on which connection an attempt went out.
"""

from __future__ import annotations

from math import inf
from typing import Protocol

import gevent

from spoolbarrow import interface as i
from spoolbarrow.net.http1 import Message


class Answer(Protocol):
    """How the client's side gives a request's one answer; only `pass_on` may block."""

    def fail_fast(self, retry_after_ms: float, header: bytes = b"") -> None:
        """Declined; trying again is harmless."""

    def client_address(self) -> str:
        """The client's address; empty where it has gone."""

    def disconnected(self) -> bool:
        """Whether the client has closed, reset or half-closed its connection, read or not; never waits."""

    def fail(self, late: bool) -> None:
        """Failed; nothing is promised."""

    def reject(self) -> None:
        """The endpoint can't use the request as its client sent it."""

    def forward(self, parts: list[bytes]) -> None:
        """Events of the one stream that serves the request; raises OSError when the client has gone."""

    def end(self) -> None:
        """The stream is whole."""

    def abort(self) -> None:
        """The stream broke: the client must see that it is not whole."""


class TransferredStream(Protocol):
    """What another process of this router tells of a stream; times as on the host's clock."""

    id: str
    taken_at: float
    deadline: float
    endpoint: str
    sent_at: float
    first_at: float


class Request:
    """A client's request until it is answered and its last attempt has ended."""

    def __init__(
        self,
        key: str,
        id: str,
        message: Message,
        answer: Answer,
        facts: i.RequestArrived,
        now: float,
        deadline: float,
        connection: int = 0,
    ) -> None:
        self.key, self.id, self.message, self.answer = key, id, message, answer
        self.cls, self.tenant = facts.cls, facts.tenant  # their positions in the settings it was taken under
        self.class_name = self.tenant_name = ""  # what they are called in any
        if facts.settings is not None:
            self.class_name = facts.settings.classes[facts.cls].name
            self.tenant_name = facts.settings.tenant_name(facts.tenant)
        self.connection = connection  # its client's, by the taps' number; 0: told by none
        self.taken_at, self.deadline = now, deadline
        self.repeat_window_ms = (
            inf  # a further attempt is written whole so long after the first that may have run
        )
        self.max_attempts = 1  # unless the host says more
        self.attempts: list[Attempt] = []
        self.serving_attempt: Attempt | None = None  # the attempt that is the client's
        self.finished = False  # answered, or the client has gone
        self.answer_kind = ""  # how: served, fail_fast, failed, broken, or left by its client

    def finish(self, how: str) -> None:
        """It has its answer, or needs none."""
        self.finished, self.answer_kind = True, how

    def log_fields(self, now: float) -> dict[str, object]:
        """What became of it, for the log: times in ms since it was taken, numbers as they were then."""
        since = self.taken_at
        return {
            "request": self.key,
            "id": self.id,
            "class": self.cls,
            "tenant": self.tenant,
            "answer": self.answer_kind,
            "budget_ms": round(self.deadline - since),
            "ms": round(now - since),
            "attempts": [a.log_fields(since) for a in self.attempts],
        }

    def may_repeat(self, attempt: Attempt, now: float) -> bool:
        """Whether an attempt that is written now falls within the time for repeats."""
        ran = [other.sent_at for other in self.attempts if other is not attempt and not other.never_ran()]
        return not ran or now < min(ran) + self.repeat_window_ms

    def settled(self) -> bool:
        """Whether nothing more can happen to it."""
        return self.finished and all(attempt.ended for attempt in self.attempts)


class AnswerReader(Protocol):
    """An attempt's answer while it is read."""

    def must_finish(self) -> bool:
        """Whether it must not be broken off now."""


class Attempt:
    """One sending of a request to an endpoint."""

    def __init__(self, request: Request, number: int, endpoint: str, sent_at: float) -> None:
        self.request, self.number, self.endpoint, self.sent_at = request, number, endpoint, sent_at
        self.connection = 0  # the endpoint's, by the taps' number; 0: none came up
        self.incarnation = 0  # of its endpoint, as it was decided on
        self.ended = False
        self.outcome: i.Outcome | None = None
        self.first_at = self.ended_at = 0.0
        self.greenlet: gevent.Greenlet[..., None] | None = None
        self.answer_reader: AnswerReader | None = None

    def never_ran(self) -> bool:
        """Whether its endpoint can't have run it: it turned it away, or never had the whole of it."""
        return self.outcome in i.NEVER_RAN or not self.connection

    def log_fields(self, since: float) -> dict[str, object]:
        """What became of it, for the log."""
        told: dict[str, object] = {"endpoint": self.endpoint, "sent": round(self.sent_at - since)}
        if self.first_at:
            told["first"] = round(self.first_at - since)
        return told | {"ended": round(self.ended_at - since), "outcome": self.outcome and self.outcome.name}

    def stop(self) -> None:
        """Give it up: its greenlet closes the connection."""
        if self.greenlet is not None and self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)
