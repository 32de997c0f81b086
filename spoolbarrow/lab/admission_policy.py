"""The door before the decisions, as a policy of the lab. A session's last digits stand for its client."""

from __future__ import annotations

from functools import lru_cache
from random import Random

from spoolbarrow import interface as i
from spoolbarrow.admission import controller as d
from spoolbarrow.admission.gate import AdmissionGate, Caller, tenant_weights
from spoolbarrow.router import Router

CLIENTS = 40  # of a tenant


def caller_of(event: i.RequestArrived) -> Caller:
    """Who asks, in the lab."""
    return Caller(
        _client(event.tenant * CLIENTS + event.session % CLIENTS), event.session ^ event.prompt_tokens
    )


@lru_cache(maxsize=10_000)
def _client(number: int) -> int:
    return Random(number).getrandbits(64)


class AdmissionPolicy(AdmissionGate):
    """A router with a door."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        told = d.Settings(weights=tenant_weights(settings), max_retry_after_ms=settings.max_retry_after_ms)
        super().__init__(Router(settings, seed), told, seed, caller_of)
