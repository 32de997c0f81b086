"""The door in the serving program: who asks, what the log says, tickets signed.

The decisions are `controller.AdmissionController`'s. A ticket is good at the router that gave it, and for one admission.
"""

from __future__ import annotations

import hmac
import os
from hashlib import blake2b
from socket import inet_aton

import gevent
import xxhash

from spoolbarrow import interface as i
from spoolbarrow.admission import controller as d
from spoolbarrow.admission.gate import AdmissionGate, Caller, Rejection, no_header, tenant_weights
from spoolbarrow.config import Config
from spoolbarrow.net.host import Host
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import DoorTable, index_of
from spoolbarrow.router import Router

TICKET = "X-Come-Back"
REPEAT = b"1"  # X-Repeat of a client's retry
SAY_S = 10.0  # between lines with counts


class Prepared:
    """Settings that were checked."""

    def __init__(self, table: DoorTable, config: Config) -> None:
        self.table = table
        found = list(tenant_weights(config.settings))
        for name, weight in table.weights.items():
            found[index_of(config.tenants, name, f"door.weights.{name}")] = weight
        self.settings = d.Settings(
            weights=tuple(found), retry_share=table.retry_share, retry_window_ms=table.retry_window_ms,
            promised_share=table.promised_share, slot_ms=table.slot_ms, grace_ms=table.grace_ms,
            max_retry_after_ms=max(config.settings.max_retry_after_ms, table.slot_ms),
            most_callers=table.most_callers, slots=table.heavy_clients, width=table.bucket_width,
            max_wait_ms=table.max_wait_ms, most_waiting=table.most_waiting,
        )  # fmt: skip


class AdmissionService:
    """The door of one router."""

    def __init__(self, host: Host, prepared: Prepared) -> None:
        self._host = host
        self._key = os.urandom(32)
        self._salt = int.from_bytes(os.urandom(8), "big")
        self._header = prepared.table.client_header.lower().encode()
        self._prepared = prepared
        self._gate: AdmissionGate | None = None
        host.set_decider(self._make)
        self._sayer = gevent.spawn(self._say)

    def _make(self, router: Router) -> AdmissionGate:
        prepared = self._prepared
        header = self._show if prepared.table.tickets else no_header
        self._gate = AdmissionGate(
            router, prepared.settings, self._salt, self._who, self._told,
            lambda error: log_exception("door", error), header,
        )  # fmt: skip
        return self._gate

    def apply(self, prepared: Prepared) -> None:
        """Go by other settings: weights, shares and waits at once, accounts stay; sizes from a restart on."""
        self._prepared = prepared
        self._header = prepared.table.client_header.lower().encode()
        if self._gate is not None:
            self._gate.door.configure(prepared.settings)

    def stop(self) -> None:
        """No door from here on; who waits at it goes to the decisions."""
        self._sayer.kill()
        self._host.set_decider(None)
        if self._gate is not None:
            self._host.resubmit(self._gate.waiting())

    def _who(self, event: i.RequestArrived) -> Caller:
        request = self._host.find_request(event.request)
        if request is None:
            return Caller(0)
        fields = request.message.fields
        name = fields.get(self._header, b"") if self._header else b""
        if not name:
            name = self._prefix(request.answer.client_address())
        client = xxhash.xxh3_64_intdigest(name, self._salt ^ event.tenant)
        prompt = xxhash.xxh3_64_intdigest(request.message.body, self._salt ^ event.session)
        repeat = True if fields.get(b"x-repeat") == REPEAT else None
        return Caller(client, prompt, self._read(fields.get(TICKET.lower().encode(), b"")), repeat)

    def _prefix(self, address: str) -> bytes:
        """The leading bits of an IPv4 address; empty where there is none."""
        try:
            bits = int.from_bytes(inet_aton(address), "big")
        except OSError:
            return b""
        return (bits >> 32 - self._prepared.table.address_bits).to_bytes(4, "big")

    # --- tickets

    def _sign(self, ticket: bytes) -> bytes:
        return blake2b(ticket, key=self._key, digest_size=12).hexdigest().encode()

    def _show(self, ticket: int) -> bytes:
        number = b"%d" % ticket
        return b"%s: %s.%s" % (TICKET.encode(), number, self._sign(number))

    def _read(self, text: bytes) -> int:
        """The ticket that a client shows; 0 where it shows none, or none of this router's."""
        number, dot, signed = text.partition(b".")
        if (
            not dot
            or len(number) > 15
            or not number.isdigit()
            or not hmac.compare_digest(signed, self._sign(number))
        ):
            return 0
        return int(number)

    # --- the log

    def _told(self, told: Rejection) -> None:
        request, away = self._host.find_request(told.event.request), told.answer
        log(
            "door_away", request=away.request, id=request.id if request is not None else "",
            tenant=told.event.tenant, why=away.why, retry_after_ms=round(away.retry_after_ms),
            promised=away.promised, fullness=round(away.fullness, 3), ahead=round(away.ahead),
            limit=round(away.limit), client_ahead=round(away.client_ahead),
            client_limit=round(away.client_limit),
        )  # fmt: skip

    def _say(self) -> None:
        """Counts, where there is news."""
        said: dict[str, int] = {}
        while True:
            gevent.sleep(SAY_S)
            if self._gate is None:
                continue
            door = self._gate.door
            counts = dict(door.counts)
            if counts != said:
                said = counts
                log(
                    "door_counts", **counts, waiting=len(door.waiting), callers=len(door.calendar.callers),
                    come_back_share=round(door.calendar.share, 3), rate=round(door.capacity.rate, 3),
                    prompts_forgotten=door.seen.dropped,
                )  # fmt: skip
