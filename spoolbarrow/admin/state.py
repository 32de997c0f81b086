"""Encodes the state handed to the next process of this router: the list, and what the decisions have learnt.

Owns the format, and which learnt attributes of the decisions are worth handing over; times are Unix ms, as
the host's clock is on one machine. Anything missing or incompatible keeps its initial value. Free of I/O.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from spoolbarrow.config import HostList
from spoolbarrow.handover import HandoverDataError
from spoolbarrow.router import Entitlement, Router

VERSION = 2  # 1 identified classes, tenants and zones by position
MAX_HEAT_PREFIXES = 2000  # prefixes whose counts are handed over, the most used ones
# Keys in the state, with the attributes of the decisions that they hold.
OF_ROUTER = {"hedges": "hedge_budget"}
OF_POOL = {
    "request_tokens": "mean_request_tokens",
    "lateness": "late_factor",
}
OF_PREFIXES = {
    "heat_sum": "keyed_count",
    "heat_at": "halved_at",
    "seen": "count_sum",
    "once": "seen_once",
}
OF_CLASS = {
    "answer_ms": "mean_answer_ms",
    "home_read": "preferred_prefill_tokens",
    "missed": "prefix_miss_share",
}
OF_REPLICA = {
    "report_at": "report_at",
    "heard_at": "last_response_at",
    "reports": "sends_reports",
    "memory": "memory_share",
    "load": "load_ms",
    "slow": "slow_factor",
    "slow_at": "slow_factor_at",
    "failing": "failing_level",
    "failed_at": "failed_at",
    "suspect_until": "suspect_until",
    "strikes": "suspect_count",
    "silent": "unresponsive",
}
OF_ENTITLEMENT = {  # not what is in flight there
    "burst": "burst",
    "debt": "debt",
    "used": "used_tokens",
    "used_at": "used_at",
    "saved": "bucket_tokens",
    "saved_at": "bucket_at",
}


class State(Struct):
    """The state of one process, for another process of the same version."""

    v: int
    name: str
    known: HostList
    resumed: dict[str, float]  # when operators resumed an engine
    router: dict[str, Any]
    pool: dict[str, Any]
    heat: dict[str, float]
    replicas: dict[str, dict[str, Any]]
    # Keyed by name, or by position if it has none.
    classes: dict[str, dict[str, Any]]
    zones: dict[str, tuple[float, float, float]]  # load, memory, time of the last report
    entitlements: dict[str, dict[str, float]]


def _of(thing: object, names: dict[str, str]) -> dict[str, Any]:
    return {key: getattr(thing, name) for key, name in names.items()}


def encode(name: str, known: HostList, resumed: dict[str, float], router: Router) -> bytes:
    """Encode a state."""
    pool = router.pool
    hottest = sorted(pool.prefixes.counts.items(), key=lambda item: -item[1])[:MAX_HEAT_PREFIXES]
    return msgspec.json.encode(
        State(
            VERSION,
            name,
            known,
            resumed,
            _of(router, OF_ROUTER),
            _of(pool, OF_POOL) | _of(pool.prefixes, OF_PREFIXES),
            {str(prefix): heat for prefix, heat in hottest},
            {replica.id: _of(replica, OF_REPLICA) for replica in pool.replicas.values()},
            {str(cls): _of(learnt, OF_CLASS) for cls, learnt in router.class_stats.items()},
            {
                str(zone): (pool.zone_load_ms[n], pool.zone_memory_share[n], pool.zone_updated_at[n])
                for n, zone in enumerate(pool.zone_keys)
            },
            {str(tenant): _of(e, OF_ENTITLEMENT) for tenant, e in router.entitlements.items()},
        )
    )


def decode(text: bytes, name: str) -> State:
    """Decode a state; raises HandoverDataError if it is torn, of another version or another router."""
    try:
        state = msgspec.json.decode(text, type=State)
    except msgspec.DecodeError as error:
        raise HandoverDataError("", str(error)) from error
    if state.v != VERSION or state.name != name:
        raise HandoverDataError("", f"version {state.v} of {state.name!r}")
    return state


def restore(state: State, router: Router) -> None:
    """Restore the state into a router that has the list; names that it lacks are skipped."""
    pool = router.pool
    _put(router, OF_ROUTER, state.router)
    _put(pool, OF_POOL, state.pool)
    _put(pool.prefixes, OF_PREFIXES, state.pool)
    pool.prefixes.counts = {int(prefix): heat for prefix, heat in state.heat.items()}
    for id, values in state.replicas.items():
        replica = pool.replicas.get(id)
        if replica is not None:
            _put(replica, OF_REPLICA, values)
    for cls, learnt in router.class_stats.items():
        _put(learnt, OF_CLASS, state.classes.get(str(cls), {}))
    for n, zone in enumerate(pool.zone_keys):
        if str(zone) in state.zones:
            pool.zone_load_ms[n], pool.zone_memory_share[n], pool.zone_updated_at[n] = state.zones[str(zone)]
    for tenant in router.settings.tenant_keys():
        if str(tenant) in state.entitlements:
            entitlement = router.entitlements.setdefault(tenant, Entitlement())
            _put(entitlement, OF_ENTITLEMENT, state.entitlements[str(tenant)])


def _put(thing: object, names: dict[str, str], told: dict[str, Any]) -> None:
    """Take over values of the type and, for tables, the size that is there: others are another program's."""
    for key, name in names.items():
        old, new = getattr(thing, name), told.get(key)
        if isinstance(old, float) and isinstance(new, int) and not isinstance(new, bool):
            new = float(new)
        same_size = not isinstance(old, list) or (isinstance(new, list) and len(new) == len(old))
        if type(new) is type(old) and same_size:
            setattr(thing, name, new)
