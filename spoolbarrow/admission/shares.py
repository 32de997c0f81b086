"""Fair shares by virtual time: tenants by weight, clients equally within their tenant.

A flow's tag is the virtual time up to which it has been charged. Virtual time advances with the work that
the fleet finishes, divided among all active flows by their weights (the fluid model of A. K. Parekh and R. G.
Gallager, "A Generalized Processor Sharing Approach to Flow Control", IEEE/ACM ToN 1(3), 1993; a clock driven
by the completed work, as in S. J. Golestani, "A Self-Clocked Fair Queueing Scheme", INFOCOM '94; tags from
max(virtual time, last tag) as in P. Goyal, H. M. Vin and H. Cheng, "Start-Time Fair Queueing", SIGCOMM '96).
There is no queue: the caller decides how far ahead a flow may be.

Two continuously busy flows, each admitted while it is less than L ahead, differ over any window, in work
per unit of weight, by at most the sum of both their L and both their largest requests (the form of Goyal's
Theorem 1, with L in place of one packet). An idle flow saves no credit. A busy flow borrows at most the
work that it has in flight, which is bounded by `max_ahead` and repaid as that work finishes. Work is in
tokens, weights in any unit; real time plays no part.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

from spoolbarrow.admission.errors import AdmissionError

Key = Any  # hashable


class Flow:
    """The account of one tenant or client."""

    __slots__ = ("key", "weight", "tag", "clients", "synced")

    def __init__(self, key: Key, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.tag = 0.0
        self.clients: FairShares | None = None  # clients that share this tenant's service
        self.synced = 0.0  # the tenants' virtual time up to which the clients were advanced


class FairShares:
    """Flows that share one capacity; `max_ahead` bounds how far one may be ahead."""

    def __init__(self, max_ahead: float) -> None:
        if max_ahead <= 0.0:
            raise AdmissionError("", "the bound on work ahead must be above 0")
        self.max_ahead = max_ahead
        self.virtual_time = 0.0
        self.flows: dict[Key, Flow] = {}  # active flows: those ahead of virtual time
        self.total_weight = 0.0  # of the active flows
        self.heap: list[tuple[float, int, Flow]] = []  # tag, push number, flow; tags may be stale
        self.pushes = 0

    def advance(self, served: float) -> None:
        """Advance virtual time by the work served, and drop flows that become idle."""
        while served > 0.0 and self.flows:
            while self.flows.get(self.heap[0][2].key) is not self.heap[0][2]:
                heappop(self.heap)
            tag, _, flow = self.heap[0]
            if tag < flow.tag:
                heappop(self.heap)
                self._push_tag(flow)
                continue
            needed = (tag - self.virtual_time) * self.total_weight
            if needed > served:
                self.virtual_time += served / self.total_weight
                return
            served -= max(0.0, needed)
            self.virtual_time = max(self.virtual_time, tag)
            heappop(self.heap)
            self._deactivate(flow)

    def ahead(self, key: Key) -> float:
        """Work of a flow beyond its share."""
        flow = self.flows.get(key)
        return (flow.tag - self.virtual_time) * flow.weight if flow is not None else 0.0

    def charge(self, key: Key, weight: float, work: float) -> Flow | None:
        """Charge a flow, or credit it with negative work; None if it is idle afterwards."""
        flow = self.flows.get(key)
        already_queued = flow is not None and work >= 0.0 and weight == flow.weight
        if flow is None:
            if work <= 0.0:
                return None
            flow = self.flows[key] = Flow(key, weight)
            flow.tag = flow.synced = self.virtual_time
            self.total_weight += weight
        elif weight != flow.weight:
            # A new weight leaves the work that the flow is ahead unchanged.
            flow.tag = self.virtual_time + (flow.tag - self.virtual_time) * flow.weight / weight
            self.total_weight += weight - flow.weight
            flow.weight = weight
        flow.tag = min(flow.tag + work / weight, self.virtual_time + self.max_ahead / weight)
        if flow.tag <= self.virtual_time:
            self._deactivate(flow)
            return None
        if not already_queued:  # else the heap holds an earlier tag of the flow, corrected when popped
            self._push_tag(flow)
        return flow

    def _push_tag(self, flow: Flow) -> None:
        self.pushes += 1
        heappush(self.heap, (flow.tag, self.pushes, flow))
        if len(self.heap) > 64 + 4 * len(self.flows):
            # Re-pushed flows leave stale tags behind: the heap is rebuilt to bound its memory.
            self.heap = sorted((one.tag, n, one) for n, one in enumerate(self.flows.values()))
            self.pushes = len(self.heap)

    def _deactivate(self, flow: Flow) -> None:
        if self.flows.get(flow.key) is flow:
            del self.flows[flow.key]
            self.total_weight = self.total_weight - flow.weight if self.flows else 0.0


class TenantShares:
    """Tenants by weight, and equal clients within each tenant."""

    def __init__(self, weights: dict[Key, float], max_ahead: float) -> None:
        self.max_ahead = max_ahead
        self.tenants = FairShares(max_ahead)
        self.configure(weights)

    def configure(self, weights: dict[Key, float]) -> None:
        """Set the weights; accounts are kept."""
        if not weights or any(weight <= 0.0 for weight in weights.values()):
            raise AdmissionError("", "every tenant needs a weight above 0")
        self.weights = dict(weights)
        self.min_weight = min(weights.values())

    def weight(self, tenant: Key) -> float:
        """A tenant's weight; an unknown tenant gets the smallest weight."""
        return self.weights.get(tenant, self.min_weight)

    def capacity_share(self, tenant: Key) -> float:
        """A tenant's share of the capacity among the active tenants and itself."""
        client_shares, weight = self.tenants, self.weight(tenant)
        return weight / (
            client_shares.total_weight
            if tenant in client_shares.flows
            else client_shares.total_weight + weight
        )

    def advance(self, served: float) -> None:
        """Advance by the work served for all tenants; their clients are advanced on their next use."""
        self.tenants.advance(served)

    def ahead(self, tenant: Key) -> float:
        """Work of a tenant beyond its share."""
        return self.tenants.ahead(tenant)

    def client_ahead(self, tenant: Key, client: Key) -> float:
        """Work of a client beyond its share of its tenant's service."""
        client_shares = self._client_shares(tenant)
        return client_shares.ahead(client) if client_shares is not None else 0.0

    def client_count(self, tenant: Key) -> int:
        """The number of a tenant's clients that are ahead of their share."""
        client_shares = self._client_shares(tenant)
        return len(client_shares.flows) if client_shares is not None else 0

    def charge(self, tenant: Key, client: Key, work: float) -> None:
        """Charge a client and its tenant; negative work corrects an earlier charge."""
        client_shares = self._client_shares(tenant)
        flow = self.tenants.charge(tenant, self.weight(tenant), work)
        if flow is None:
            return  # without a tenant ahead of its share no client is ahead
        if client_shares is None:
            client_shares = flow.clients = FairShares(self.max_ahead)
            flow.synced = self.tenants.virtual_time
        client_shares.charge(client, 1.0, work)

    def _client_shares(self, tenant: Key) -> FairShares | None:
        """A tenant's clients, advanced to the current virtual time."""
        flow = self.tenants.flows.get(tenant)
        if flow is None or flow.clients is None:
            return None
        flow.clients.advance((self.tenants.virtual_time - flow.synced) * flow.weight)
        flow.synced = self.tenants.virtual_time
        return flow.clients
