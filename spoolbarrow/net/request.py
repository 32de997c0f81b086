"""A client's request and its attempts: the state shared by the host and the endpoint client.

Records the outcome of each. The host decides when a request is finished and an attempt has ended; the
endpoint client records the connection that carries an attempt.
"""

from __future__ import annotations

from math import inf
from typing import Protocol

import gevent

from spoolbarrow import interface as i
from spoolbarrow.net.http1 import Message


class Answer(Protocol):
    """How a request is answered on the client's side; only `forward` may block."""

    def fail_fast(self, retry_after_ms: float, header: bytes = b"") -> None:
        """Decline the request; a retry is safe."""

    def client_address(self) -> str:
        """The client's address; empty if it has disconnected."""

    def disconnected(self) -> bool:
        """Whether the client has closed, reset or half-closed its connection; never blocks."""

    def shows_disconnect(self, now: float) -> bool:
        """Whether `disconnected` can be relied on: not behind much unread input; never blocks."""

    def fail(self, late: bool) -> None:
        """Fail the request; it may have run."""

    def reject(self) -> None:
        """Reject the request: the endpoint can't process it as sent."""

    def forward(self, data: bytes) -> None:
        """Write a part of the serving attempt's stream; OSError if the client has disconnected."""

    def end(self) -> None:
        """Complete the stream."""

    def abort(self) -> None:
        """Break the stream off, so that the client sees it as incomplete."""


class TransferredStream(Protocol):
    """A stream handed over by another process of this router; times on the host's clock."""

    id: str
    taken_at: float
    deadline: float
    endpoint: str
    sent_at: float
    first_at: float


class Request:
    """A client's request, until it is answered and its last attempt has ended."""

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
        self.cls, self.tenant = facts.cls, facts.tenant  # indices in the settings at the time of acceptance
        self.class_name = self.tenant_name = ""  # valid for any settings
        if facts.settings is not None:
            self.class_name = facts.settings.classes[facts.cls].name
            self.tenant_name = facts.settings.tenant_name(facts.tenant)
        self.connection = connection  # the client connection's number from `Observers`; 0: unknown
        self.taken_at, self.deadline = now, deadline
        # How long after the first attempt that may have run a further one may be written.
        self.repeat_window_ms = inf
        self.max_attempts = 1  # the host may raise it
        self.attempts: list[Attempt] = []
        self.serving_attempt: Attempt | None = None  # whose stream the client receives
        self.finished = False  # answered, or the client has disconnected
        self.answer_kind = ""  # served, fail_fast, failed, rejected, broken, or left (by the client)

    def finish(self, how: str) -> None:
        """Record how it was answered, or that it needs no answer."""
        self.finished, self.answer_kind = True, how

    def log_fields(self, now: float) -> dict[str, object]:
        """Its outcome for the log: times in ms since acceptance, indices as of then."""
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
        """Whether an attempt written now is within the repeat window."""
        ran = [other.sent_at for other in self.attempts if other is not attempt and not other.never_ran()]
        return not ran or now < min(ran) + self.repeat_window_ms

    def release(self) -> None:
        """Let go of what was needed to carry it out, which would wait for the garbage collector."""
        self.message, self.attempts = Message(), []

    def settled(self) -> bool:
        """Whether it is finished and all attempts have ended."""
        return self.finished and all(attempt.ended for attempt in self.attempts)


class AnswerReader(Protocol):
    """Reads an attempt's response."""

    def must_finish(self) -> bool:
        """Whether it must not be stopped now."""


class Attempt:
    """One attempt to serve a request at an endpoint."""

    def __init__(self, request: Request, number: int, endpoint: str, sent_at: float) -> None:
        self.request, self.number, self.endpoint, self.sent_at = request, number, endpoint, sent_at
        self.connection = 0  # the endpoint connection's number from `Observers`; 0: none was opened
        self.incarnation = 0  # of its endpoint at the time of the decision
        self.ended = False
        self.outcome: i.Outcome | None = None
        self.first_at = self.ended_at = 0.0
        self.greenlet: gevent.Greenlet[..., None] | None = None
        self.answer_reader: AnswerReader | None = None

    def never_ran(self) -> bool:
        """Whether the endpoint can't have run it: it refused the request or never received all of it."""
        return self.outcome in i.NEVER_RAN or not self.connection

    def log_fields(self, since: float) -> dict[str, object]:
        """Its outcome for the log."""
        fields: dict[str, object] = {"endpoint": self.endpoint, "sent": round(self.sent_at - since)}
        if self.first_at:
            fields["first"] = round(self.first_at - since)
        return fields | {"ended": round(self.ended_at - since), "outcome": self.outcome and self.outcome.name}

    def stop(self) -> None:
        """Cancel it: its greenlet closes the connection."""
        if self.greenlet is not None and self.greenlet is not gevent.getcurrent():
            self.greenlet.kill(block=False)
