"""Tests of the four rules on random valid event orders, for every effect, group and permission."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow.interface import (
    AttemptEnded,
    Effect,
    Group,
    ListKind,
    Outcome,
    ProbeAnswered,
    ReplicaEntry,
    ReplicaList,
    ReplicaState,
    RequestArrived,
    RequestClass,
    Send,
    StreamStarted,
)
from spoolbarrow.lab.slow_start_exposure import Rule, play
from spoolbarrow.router import Router
from tests.world import World, make_settings, serving_list


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(
    seed=st.integers(0, 2**32),
    effect=st.sampled_from(Effect),
    group=st.sampled_from(Group),
    window=st.sampled_from([50.0, 5000.0]),
    flags=st.tuples(*[st.booleans()] * 5),
    attempts=st.integers(1, 5),
)
def test_rules_hold_on_any_legal_order(
    seed: int,
    effect: Effect,
    group: Group,
    window: float,
    flags: tuple[bool, bool, bool, bool, bool],
    attempts: int,
) -> None:
    copies, cancelling, probing, subscribe, tenants = flags
    changes: dict[str, object] = {} if tenants else {"tenants": ()}
    world = World(
        make_settings(
            classes=(
                RequestClass(1000.0, 4000.0, 3.0, effect, group, window),
                RequestClass(500.0, 2000.0, 1.0),
            ),
            second_copies=copies,
            cancelling=cancelling,
            probing=probing,
            subscribe=subscribe,
            max_attempts=attempts,
            **changes,
        ),
        seed,
    )
    world.run(250)
    assert any(isinstance(a, Send) for a in world.log)


@pytest.mark.parametrize("state", [ReplicaState.DRAINING, ReplicaState.GONE])
def test_a_drained_replica_gets_no_new_requests(state: ReplicaState) -> None:
    router = Router(make_settings(probing=False), 1)
    router.handle(0.0, [serving_list("a", "b")])
    router.handle(1.0, [ReplicaList(ListKind.CHANGES, (ReplicaEntry("a", state=state),))])
    for k in range(20):
        for action in router.handle(2.0 + k, [RequestArrived(f"q{k}", 0, 1000.0)]):
            assert not isinstance(action, Send) or action.replica == "b"


def test_a_replica_missing_from_a_whole_list_is_removed() -> None:
    router = Router(make_settings(probing=False), 1)
    router.handle(0.0, [serving_list("a", "b")])
    router.handle(1.0, [serving_list("b")])
    sent = [
        a.replica
        for k in range(20)
        for a in router.handle(2.0 + k, [RequestArrived(f"q{k}", 0, 1000.0)])
        if isinstance(a, Send)
    ]
    assert sent and set(sent) == {"b"}


@pytest.mark.parametrize(("warm", "cold", "least"), [(19, 1, 0.27), (8, 12, 0.4)])
def test_many_routers_keep_the_slow_start_limit_and_use_it(warm: int, cold: int, least: float) -> None:
    """All routers see idle slow-starting replicas; together they send each no more than its limit.

    Nor do they send far less: where most replicas start at once, the warm ones would get all other requests.
    """
    nodes, per_node_ms = 60, 300.0
    cfg = make_settings(nodes=nodes, zones=1, cold_from=0.1, cold_ms=10000.0, tenants=())
    names, new = [f"w{k}" for k in range(warm)], [f"cold{k}" for k in range(cold)]
    routers = [Router(cfg, seed) for seed in range(nodes)]
    sends: dict[str, list[float]] = {name: [] for name in names + new}
    for router in routers:
        router.handle(0.0, [serving_list(*names)])
    total = 0
    for step in range(400):
        now = 10.0 + step * 50.0
        for n, router in enumerate(routers):
            events: list[object] = []
            if step == 200:
                entries = tuple(ReplicaEntry(name, started_at_ms=now) for name in new)
                events.append(ReplicaList(ListKind.CHANGES, entries))
            if (step * 50 + n * 7) % per_node_ms < 50:
                name, session = f"q{n}-{step}", step * 64 + n
                events.append(RequestArrived(name, 0, 3000.0, prompt_tokens=2000, session=session))
                total += 1
            pending = list(events)
            while pending:
                more: list[object] = []
                for action in router.handle(now, pending):  # type: ignore[arg-type]
                    kind = type(action).__name__
                    if kind == "Probe":
                        more.append(ProbeAnswered(action.replica, Outcome.SERVED, 1.0))  # type: ignore[union-attr]
                    elif isinstance(action, Send):
                        sends[action.replica].append(now)
                        more.append(StreamStarted(action.request, 0, action.replica, 100.0))
                        more.append(AttemptEnded(action.request, 0, action.replica, Outcome.SERVED, True))
                pending = more
    share_per_ms = total / (400 * 50.0) / 20
    start = 10.0 + 200 * 50.0
    for name in new:
        for at in sends[name]:
            window = [t for t in sends[name] if at - 2000.0 < t <= at]
            age = max(0.0, at - 2000.0 - start)
            ramp = min(1.0, 0.1 + 0.9 * age / 10000.0)
            # A half-loaded fleet: capacity is twice the equal share. 6 allows for chance in small counts.
            assert len(window) <= 3.0 * ramp * 2.0 * share_per_ms * 2000.0 + 6
    served_share = sum(len(sends[name]) for name in new) / cold / (share_per_ms * 10000.0)
    assert served_share > least  # of an equal share, while capacity grows from a tenth to the whole


@pytest.mark.parametrize("nodes", [1, 2, 40, 200])
@pytest.mark.parametrize("rule", [Rule(0.34, 8600.0, 4.0, 2000.0), Rule(0.12, 22_000.0, 2.5, 2000.0)])
def test_all_routers_together_keep_slow_starting_replicas_within_capacity(nodes: int, rule: Rule) -> None:
    """Uneven routers send all that slow start admits, at full load: none is overloaded (rule 4).

    Slow start admits at least half of what the replicas' capacity grows to.
    """
    started = play(nodes, rule, seed=7)
    assert max(one.worst for one in started) <= 1.0
    assert sum(one.sent for one in started) / len(started) > 0.5
