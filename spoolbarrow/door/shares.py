"""Shares of the door: virtual clocks with credit, tenants by weight, clients alike within their tenant.

A flow's tag says up to which virtual time it has been served; virtual time passes as fast as the capacity
serves all active flows by their weights (the fluid model of A. K. Parekh and R. G. Gallager, "A Generalized
Processor Sharing Approach to Flow Control", IEEE/ACM ToN 1(3), 1993; tags from max(virtual time, last tag) as
in P. Goyal, H. M. Vin and H. Cheng, "Start-Time Fair Queueing", SIGCOMM '96). There is no queue: a flow that
is further ahead than its credit is refused where capacity is short, and taken where it is not.

So two flows that are both kept busy differ over any window, in work for each unit of weight, by at most both
credits and both largest requests (the form of Goyal's Theorem 1, with the credit in place of one packet).
What an idle flow did not use is not saved; what a busy one borrowed is owed, up to `owed`, and paid back as
virtual time passes. Work is in tokens, weights in any unit; nothing here knows of time.
"""

from __future__ import annotations

from heapq import heappop, heappush
from typing import Any

Key = Any  # hashable


class Flow:
    """One party's account."""

    __slots__ = ("key", "weight", "tag")

    def __init__(self, key: Key, weight: float) -> None:
        self.key = key
        self.weight = weight
        self.tag = 0.0


class Clocks:
    """Flows that share one capacity."""

    def __init__(self, credit: float, owed: float) -> None:
        if credit <= 0.0 or owed < credit:
            raise ValueError("credit must be above 0, and what may be owed no less")
        self.credit, self.owed = credit, owed
        self.virtual = 0.0
        self.flows: dict[Key, Flow] = {}  # active ones: ahead of virtual time
        self.weight = 0.0  # of them
        self.ends: list[tuple[float, int, Flow]] = []  # tags, when they were set
        self.count = 0

    def advance(self, served: float) -> None:
        """So much work could have been served; virtual time passes by it, and idle flows are forgotten."""
        while served > 0.0 and self.flows:
            while self.ends and self.flows.get(self.ends[0][2].key) is not self.ends[0][2]:
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

    def room(self, key: Key) -> float:
        """Credit that a flow has left: where capacity is short, it may have more while that is above 0."""
        return self.credit - self.ahead(key)

    def charge(self, key: Key, weight: float, work: float) -> None:
        """The flow gets so much work; what it owes is bounded. Less than nothing gives back."""
        flow = self.flows.get(key)
        if flow is None:
            if work <= 0.0:
                return
            flow = self.flows[key] = Flow(key, weight)
            flow.tag = self.virtual
            self.weight += weight
            self.count += 1
        elif weight != flow.weight:
            # What it is ahead in work stays what it was.
            flow.tag = self.virtual + (flow.tag - self.virtual) * flow.weight / weight
            self.weight += weight - flow.weight
            flow.weight = weight
        flow.tag = min(flow.tag + work / weight, self.virtual + self.owed / weight)
        if flow.tag <= self.virtual:
            self._drop(flow)
        else:
            self._push(flow)

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


class Shares:
    """Tenants by weight, and within each its clients alike."""

    def __init__(self, weights: dict[Key, float], credit: float, owed: float) -> None:
        self.credit, self.owed = credit, owed
        self.tenants = Clocks(credit, owed)
        self.clients: dict[Key, Clocks] = {}
        self.configure(weights)

    def configure(self, weights: dict[Key, float]) -> None:
        """Go by these weights; what was had stays had."""
        if not weights or any(weight <= 0.0 for weight in weights.values()):
            raise ValueError("every tenant needs a weight above 0")
        self.weights = dict(weights)
        for gone in self.clients.keys() - weights.keys():
            del self.clients[gone]

    def weight(self, tenant: Key) -> float:
        """A tenant's; one that is not known gets the least of all."""
        return self.weights.get(tenant) or min(self.weights.values())

    def advance(self, served: float) -> None:
        """So much work could have been served, of all tenants."""
        before = self.tenants.virtual
        active = [(key, flow.weight, flow.tag) for key, flow in self.tenants.flows.items()]
        self.tenants.advance(served)
        for key, weight, tag in active:
            clocks = self.clients.get(key)
            if clocks is not None:
                # What a tenant was served is its clients' capacity.
                clocks.advance((min(self.tenants.virtual, tag) - before) * weight)
                if key not in self.tenants.flows:
                    del self.clients[key]  # it is no longer ahead: nobody of it is

    def allows(self, tenant: Key, client: Key) -> bool:
        """Whether a request of this client may be taken where capacity is short.

        A client may be as far ahead as its tenant's credit has room left (A. K. Choudhury and E. L. Hahne,
        "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", IEEE/ACM ToN 6(2), 1998): busy
        ones hold alike, and leave as much again for whoever comes next.
        """
        room = self.tenants.room(tenant)
        clocks = self.clients.get(tenant)
        return room > 0.0 and (clocks is None or clocks.ahead(client) < room)

    def charge(self, tenant: Key, client: Key, work: float) -> None:
        """It was taken, at this much work; less than nothing corrects what was charged too much."""
        self.tenants.charge(tenant, self.weight(tenant), work)
        if tenant in self.tenants.flows:
            clocks = self.clients.get(tenant)
            if clocks is None:
                clocks = self.clients[tenant] = Clocks(self.credit, self.owed)
            clocks.charge(client, 1.0, work)
        else:
            self.clients.pop(tenant, None)
