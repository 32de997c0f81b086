"""Random but valid environment of one Router that checks the four rules on each of its actions.

It simulates no servers. Each event is drawn at random among the valid ones: one outcome per attempt, timeouts
at the client's deadline, timers when due.
"""

from __future__ import annotations

from random import Random

from spoolbarrow.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    Outcome,
    Probe,
    ProbeAnswered,
    Refuse,
    ReplicaEntry,
    ReplicaList,
    ReplicaState,
    Report,
    RequestArrived,
    RequestClass,
    RequestGone,
    Send,
    SetTimer,
    Settings,
    StreamStarted,
    Subscribe,
    Tenant,
    TimerFired,
)
from spoolbarrow.router import Router

SLACK_MS = 20.0


def make_settings(**changes: object) -> Settings:
    base: dict[str, object] = {
        "nodes": 4,
        "classes": (
            RequestClass(aim_ms=1000.0, deadline_ms=4000.0, worth=3.0),
            RequestClass(aim_ms=2000.0, deadline_ms=6000.0, worth=1.0),
        ),
        "tenants": (Tenant(0.6, 40.0), Tenant(0.4, 20.0)),
        "zones": 2,
    }
    base.update(changes)
    return Settings(**base)  # type: ignore[arg-type]


def serving_list(*names: str, zone: int = 0, started: float = 0.0) -> ReplicaList:
    return ReplicaList(
        ListKind.WHOLE, tuple(ReplicaEntry(n, zone=zone, started_at_ms=started) for n in names)
    )


class SentAttempt:
    def __init__(self, replica: str, at: float) -> None:
        self.replica, self.at = replica, at
        self.outcome: Outcome | None = None
        self.started = False


class OpenRequest:
    def __init__(self, event: RequestArrived, deadline: float) -> None:
        self.event, self.deadline = event, deadline
        self.sent: list[SentAttempt] = []
        self.done = False
        self.started = False


class World:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.router = Router(settings, seed)
        self.now = 1000.0
        self.entries: dict[str, ReplicaEntry] = {}
        self.unavailable_since: dict[str, float] = {}
        self.open: dict[str, OpenRequest] = {}
        self.timers: list[tuple[float, str]] = []
        self.probes: list[str] = []
        self.log: list[Action] = []
        self.count = 0
        replicas = tuple(ReplicaEntry(f"r{k}", zone=k % settings.zones, cell=k // 2) for k in range(8))
        self.feed([self.listing(ListKind.RESTORED, replicas)])

    def listing(self, kind: ListKind, entries: tuple[ReplicaEntry, ...]) -> ReplicaList:
        if kind not in (ListKind.CHANGES, ListKind.FAILED):
            for name in self.entries:
                if name not in {entry.replica for entry in entries}:
                    self.unavailable_since.setdefault(name, self.now)
        for entry in entries:
            self.entries[entry.replica] = entry
            if entry.state is ReplicaState.SERVING:
                self.unavailable_since.pop(entry.replica, None)
            else:
                self.unavailable_since.setdefault(entry.replica, self.now)
        return ReplicaList(kind, entries)

    def feed(self, events: list[Event]) -> list[Action]:
        actions = self.router.handle(self.now, events)
        for action in actions:
            self.check(action)
        self.log += actions
        return actions

    def check(self, action: Action) -> None:
        settings = self.settings
        if isinstance(action, SetTimer):
            assert action.in_ms >= 0.0
            self.timers.append((self.now + action.in_ms, action.token))
        elif isinstance(action, Probe):
            assert settings.probing and action.replica in self.entries
            self.probes.append(action.replica)
        elif isinstance(action, Cancel):
            assert settings.cancelling and action.attempt < len(self.open[action.request].sent)
        elif isinstance(action, Subscribe):
            assert settings.subscribe
        else:
            request = self.open[action.request]
            ran = [a for a in request.sent if a.outcome not in NEVER_RAN]
            cls = settings.classes[request.event.cls]
            if isinstance(action, Send):
                assert not request.done and not request.started, "rule 1: sent after the final answer"
                assert self.now <= request.deadline
                assert action.replica not in self.unavailable_since, (
                    "rule 3: sent to a draining or removed replica"
                )
                assert len(request.sent) < settings.max_attempts
                if not settings.second_copies:
                    assert all(a.outcome is not None for a in request.sent), "an attempt is open"
                if ran and cls.effect is Effect.UNSAFE:
                    raise AssertionError("rule 2: unsafe request sent again")
                if ran and cls.effect is Effect.KEYED:
                    assert self.now < ran[0].at + cls.window_ms, "rule 2: keyed request sent after its window"
                    for a in ran:
                        self.same_group(cls.group, a.replica, action.replica)
                request.sent.append(SentAttempt(action.replica, self.now))
            elif isinstance(action, Refuse):
                assert not request.done, "rule 1: two final answers"
                assert 0.0 <= action.retry_after_ms <= settings.max_retry_after_ms
                if ran and cls.effect is Effect.UNSAFE:
                    raise AssertionError("rule 2: unsafe request refused though it may have run")
                if ran and cls.effect is Effect.KEYED:
                    assert cls.group is Group.ALL, "rule 2: keyed request refused though it may have run"
                request.done = True
            elif isinstance(action, Fail):
                assert not request.done, "rule 1: two final answers"
                request.done = True

    def same_group(self, group: Group, one: str, other: str) -> None:
        a, b = self.entries[one], self.entries[other]
        assert group is Group.ALL or a.zone == b.zone, "rule 2: sent to another zone"
        assert group is not Group.CELL or a.cell == b.cell, "rule 2: sent to another cell"

    # --- events that may happen next

    def arrive(self) -> None:
        rng = self.rng
        self.count += 1
        budget = rng.choice([30.0, 400.0, 2000.0])
        prompt = rng.randrange(10, 6000)
        event = RequestArrived(
            f"q{self.count}",
            rng.randrange(len(self.settings.classes)),
            budget,
            tenant=rng.randrange(0, 4),  # two of the tenants are not in the settings
            prompt_tokens=prompt,
            shared_tokens=rng.choice([0, prompt // 2, prompt + 10]),
            session=rng.choice([0, rng.randrange(1, 6)]),
            prefix=rng.choice([0, rng.randrange(1, 4)]),
            resumed=rng.random() < 0.1,
        )
        self.open[event.request] = OpenRequest(event, self.now + budget)
        self.feed([event])

    def outstanding(self) -> list[tuple[OpenRequest, int]]:
        return [
            (request, number)
            for request in self.open.values()
            for number, attempt in enumerate(request.sent)
            if attempt.outcome is None
        ]

    def end(self, request: OpenRequest, number: int, outcome: Outcome) -> None:
        attempt = request.sent[number]
        attempt.outcome = outcome
        closed = request.done or outcome is Outcome.SERVED or attempt.started
        request.done = closed
        report = Report(self.rng.random(), self.rng.randrange(20000)) if self.rng.random() < 0.3 else None
        event = AttemptEnded(
            request.event.request, number, attempt.replica, outcome, closed, self.now - attempt.at, 5, report
        )
        self.feed([event, event] if self.rng.random() < 0.1 else [event])

    def end_random_attempt(self) -> None:
        open_attempts = self.outstanding()
        if open_attempts:
            request, number = self.rng.choice(open_attempts)
            if request.sent[number].started:
                self.end(request, number, self.rng.choice([Outcome.SERVED, Outcome.SERVED, Outcome.RESET]))
            else:
                self.end(request, number, self.rng.choice(list(Outcome)))

    def start(self) -> None:
        unstarted = [
            (request, number)
            for request, number in self.outstanding()
            if not request.started and not request.done
        ]
        if unstarted:
            request, number = self.rng.choice(unstarted)
            request.started = request.sent[number].started = True
            self.feed(
                [
                    StreamStarted(
                        request.event.request,
                        number,
                        request.sent[number].replica,
                        self.now - request.sent[number].at,
                    )
                ]
            )

    def answer_probe(self) -> None:
        if self.probes:
            name = self.probes.pop(self.rng.randrange(len(self.probes)))
            good = self.rng.random() < 0.7
            report = None
            if good and self.rng.random() < 0.8:
                report = Report(self.rng.random(), self.rng.choice([-1.0, 0.0, 500.0, 60000.0]))
            outcome = Outcome.SERVED if good else self.rng.choice(list(Outcome))
            self.feed([ProbeAnswered(name, outcome, self.rng.random() * 50, report)])

    def change_list(self) -> None:
        rng = self.rng
        kind = rng.choice([ListKind.CHANGES, ListKind.CHANGES, ListKind.WHOLE, ListKind.FAILED])
        if kind is ListKind.FAILED and not self.settings.subscribe:
            return
        names = [f"r{k}" for k in range(10) if rng.random() < 0.4] if kind is not ListKind.FAILED else []
        self.feed(
            [
                self.listing(
                    kind,
                    tuple(
                        ReplicaEntry(
                            n,
                            zone=int(n[1:]) % self.settings.zones,
                            cell=int(n[1:]) // 2,
                            state=rng.choice([ReplicaState.SERVING, *ReplicaState]),
                            started_at_ms=rng.choice([0.0, self.now]),
                        )
                        for n in names
                    ),
                )
            ]
        )

    def disconnect_client(self) -> None:
        waiting = [request for request in self.open.values() if not request.done]
        if waiting:
            request = self.rng.choice(waiting)
            request.done = True
            self.feed([RequestGone(request.event.request)])

    def advance(self) -> None:
        """Advance the clock, with the timers and client deadlines that expire meanwhile."""
        until = self.now + self.rng.choice([1.0, 20.0, 300.0])
        while True:
            due = [at for at, _ in self.timers]
            deadlines = [
                request.deadline for request in self.open.values() if not request.done and not request.started
            ]
            step = min([*due, *deadlines, until])
            self.now = max(self.now, step)
            if step >= until:
                return
            ready = [timer for timer in self.timers if timer[0] <= self.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.now]
            if ready:
                self.feed([TimerFired(token) for _, token in ready])
            for request in list(self.open.values()):
                if not request.done and not request.started and request.deadline <= self.now:
                    for number, attempt in enumerate(request.sent):
                        if attempt.outcome is None:
                            self.end(request, number, Outcome.TIMEOUT)
                    assert request.done, "rule 1: no final answer by the client's deadline"

    def run(self, steps: int) -> None:
        events = [
            self.arrive,
            self.arrive,
            self.end_random_attempt,
            self.start,
            self.answer_probe,
            self.answer_probe,
            self.advance,
            self.change_list,
            self.disconnect_client,
        ]
        weights = [4, 4, 5, 4, 6, 6, 5, 1, 1]
        for _ in range(steps):
            self.rng.choices(events, weights)[0]()
        for _ in range(60):
            self.advance()
        for request in self.open.values():
            assert request.done or request.started, "rule 1: a request was lost"
