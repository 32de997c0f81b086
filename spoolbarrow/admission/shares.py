"""Shares of the door: virtual clocks, tenants by weight, clients alike within their tenant.

A flow's tag says up to which virtual time it has been served. Virtual time passes by what the fleet finishes,
dealt out to all active flows by their weights (the fluid model of A. K. Parekh and R. G. Gallager, "A
Generalized Processor Sharing Approach to Flow Control", IEEE/ACM ToN 1(3), 1993; a clock that is driven by
the work done itself, as in S. J. Golestani, "A Self-Clocked Fair Queueing Scheme", INFOCOM '94; tags from
max(virtual time, last tag) as in P. Goyal, H. M. Vin and H. Cheng, "Start-Time Fair Queueing", SIGCOMM '96).
There is no queue: how far ahead a flow may be is the caller's to say.

So two flows that are both kept busy, each let in while it is less than L ahead, differ over any window, in
work for each unit of weight, by at most both their L and both largest requests (the form of Goyal's Theorem
1, with L in place of one packet). What an idle flow did not use is not saved; what a busy one borrowed is
what it has under way, which is bounded by `owed`, and paid back as that is finished. Work is in tokens,
weights in any unit; nothing here knows of time.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

from spoolbarrow.admission.errors import AdmissionError

Key = Any  # hashable


class Flow:
    """One party's account."""

    __slots__ = ("key", "weight", "tag", "clients", "synced")

    def __init__(self, key: Key, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.tag = 0.0
        self.clients: FairShares | None = None  # who shares what this one is served, and up to which
        self.synced = 0.0  # virtual time they have been served


class FairShares:
    """Flows that share one capacity; `owed` bounds what one may be ahead."""

    def __init__(self, owed: float) -> None:
        if owed <= 0.0:
            raise AdmissionError("", "what may be owed must be above 0")
        self.owed = owed
        self.virtual = 0.0
        self.flows: dict[Key, Flow] = {}  # active ones: ahead of virtual time
        self.weight = 0.0  # of them
        self.ends: list[tuple[float, int, Flow]] = []  # tags, when they were set
        self.count = 0

    def advance(self, served: float) -> None:
        """So much work was served; virtual time passes by it, and idle flows are forgotten."""
        while served > 0.0 and self.flows:
            while self.flows.get(self.ends[0][2].key) is not self.ends[0][2]:
                heappop(self.ends)
            tag, _, flow = self.ends[0]
            if tag < flow.tag:
                heappop(self.ends)
                self._push(flow)
                continue
            need = (tag - self.virtual) * self.weight
            if need > served:
                self.virtual += served / self.weight
                return
            served -= max(0.0, need)
            self.virtual = max(self.virtual, tag)
            heappop(self.ends)
            self._drop(flow)

    def ahead(self, key: Key) -> float:
        """Work that a flow has had beyond its share."""
        flow = self.flows.get(key)
        return (flow.tag - self.virtual) * flow.weight if flow is not None else 0.0

    def charge(self, key: Key, weight: float, work: float) -> Flow | None:
        """The flow gets so much work, or gives back what is less than nothing; None if it is idle then."""
        flow = self.flows.get(key)
        earlier = flow is not None and work >= 0.0 and weight == flow.weight
        if flow is None:
            if work <= 0.0:
                return None
            flow = self.flows[key] = Flow(key, weight)
            flow.tag = flow.synced = self.virtual
            self.weight += weight
        elif weight != flow.weight:
            # What it is ahead in work stays what it was.
            flow.tag = self.virtual + (flow.tag - self.virtual) * flow.weight / weight
            self.weight += weight - flow.weight
            flow.weight = weight
        flow.tag = min(flow.tag + work / weight, self.virtual + self.owed / weight)
        if flow.tag <= self.virtual:
            self._drop(flow)
            return None
        if not earlier:  # else a tag of its lies in the heap that is no later, and is set right in its turn
            self._push(flow)
        return flow

    def _push(self, flow: Flow) -> None:
        self.count += 1
        heappush(self.ends, (flow.tag, self.count, flow))
        if len(self.ends) > 64 + 4 * len(self.flows):
            # Tags set anew leave old ones behind: the heap is laid out again before they cost memory.
            self.ends = sorted((one.tag, n, one) for n, one in enumerate(self.flows.values()))
            self.count = len(self.ends)

    def _drop(self, flow: Flow) -> None:
        if self.flows.get(flow.key) is flow:
            del self.flows[flow.key]
            self.weight = self.weight - flow.weight if self.flows else 0.0


class TenantShares:
    """Tenants by weight, and within each its clients alike."""

    def __init__(self, weights: dict[Key, float], owed: float) -> None:
        self.owed = owed
        self.tenants = FairShares(owed)
        self.configure(weights)

    def configure(self, weights: dict[Key, float]) -> None:
        """Go by these weights; what was had stays had."""
        if not weights or any(weight <= 0.0 for weight in weights.values()):
            raise AdmissionError("", "every tenant needs a weight above 0")
        self.weights = dict(weights)
        self.least = min(weights.values())

    def weight(self, tenant: Key) -> float:
        """A tenant's; one that is not known gets the least of all."""
        return self.weights.get(tenant, self.least)

    def part(self, tenant: Key) -> float:
        """A tenant's share of the capacity among those that use it now, itself included."""
        clocks, weight = self.tenants, self.weight(tenant)
        return weight / (clocks.weight if tenant in clocks.flows else clocks.weight + weight)

    def advance(self, served: float) -> None:
        """So much work was served, of all tenants; their clients hear of it when they are next looked at."""
        self.tenants.advance(served)

    def ahead(self, tenant: Key) -> float:
        """Work that a tenant has had beyond its share."""
        return self.tenants.ahead(tenant)

    def client_ahead(self, tenant: Key, client: Key) -> float:
        """Work that a client has had beyond its share of what its tenant was served."""
        clocks = self._clients(tenant)
        return clocks.ahead(client) if clocks is not None else 0.0

    def clients(self, tenant: Key) -> int:
        """How many of a tenant's clients are ahead of their share."""
        clocks = self._clients(tenant)
        return len(clocks.flows) if clocks is not None else 0

    def charge(self, tenant: Key, client: Key, work: float) -> None:
        """The client, and so its tenant, gets so much work; less than nothing corrects a charge."""
        clocks = self._clients(tenant)
        flow = self.tenants.charge(tenant, self.weight(tenant), work)
        if flow is None:
            return  # a tenant that is not ahead has no client that is
        if clocks is None:
            clocks = flow.clients = FairShares(self.owed)
            flow.synced = self.tenants.virtual
        clocks.charge(client, 1.0, work)

    def _clients(self, tenant: Key) -> FairShares | None:
        """A tenant's clients, served up to now."""
        flow = self.tenants.flows.get(tenant)
        if flow is None or flow.clients is None:
            return None
        flow.clients.advance((self.tenants.virtual - flow.synced) * flow.weight)
        flow.synced = self.tenants.virtual
        return flow.clients
