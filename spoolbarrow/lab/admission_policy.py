"""The admission gate in front of a router, as a policy of the lab; clients are derived from sessions."""

from __future__ import annotations

from functools import lru_cache
from random import Random

from spoolbarrow import interface as i
from spoolbarrow.admission import controller as d
from spoolbarrow.admission.gate import AdmissionGate, Caller, tenant_weights
from spoolbarrow.router import Router

CLIENTS_PER_TENANT = 40  # per tenant


def caller_of(event: i.RequestArrived) -> Caller:
    """The client that sent a request, in the lab."""
    return Caller(
        _client_hash(event.tenant * CLIENTS_PER_TENANT + event.session % CLIENTS_PER_TENANT),
        event.session ^ event.prompt_tokens,
    )


@lru_cache(maxsize=10_000)
def _client_hash(number: int) -> int:
    return Random(number).getrandbits(64)


class AdmissionPolicy(AdmissionGate):
    """A router behind an admission gate."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        gate_settings = d.Settings(
            weights=tenant_weights(settings), max_retry_after_ms=settings.max_retry_after_ms
        )
        super().__init__(Router(settings, seed), gate_settings, seed, caller_of)
