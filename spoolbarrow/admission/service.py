"""The admission service of a serving router: identifies clients, signs tickets and writes the log.

The decisions are made by `controller.AdmissionController`. A ticket is valid at the router that issued it,
for one admission.
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
from spoolbarrow.admission.gate import AdmissionGate, Caller, Rejection, no_ticket_header, tenant_weights
from spoolbarrow.config import Config
from spoolbarrow.net.host import Host
from spoolbarrow.net.log import log, log_exception
from spoolbarrow.operator import DoorTable, index_of
from spoolbarrow.router import Router

TICKET_HEADER = "X-Come-Back"
RETRY_MARK = b"1"  # value of X-Repeat on a client's retry
COUNTS_INTERVAL_S = 10.0  # between log lines with counts


class Prepared:
    """Validated settings."""

    def __init__(self, table: DoorTable, config: Config) -> None:
        self.table = table
        weights = list(tenant_weights(config.settings))
        for name, weight in table.weights.items():
            weights[index_of(config.tenants, name, f"door.weights.{name}")] = weight
        self.settings = d.Settings(
            weights=tuple(weights), retry_share=table.retry_share,
            retry_window_ms=table.retry_window_ms, promised_share=table.promised_share, slot_ms=table.slot_ms,
            grace_ms=table.grace_ms,
            max_retry_after_ms=max(config.settings.max_retry_after_ms, table.slot_ms),
            most_callers=table.most_callers, slots=table.heavy_clients, width=table.bucket_width,
            max_wait_ms=table.max_wait_ms, most_waiting=table.most_waiting,
        )  # fmt: skip


class AdmissionService:
    """Admission control of one running router."""

    def __init__(self, host: Host, prepared: Prepared) -> None:
        self._host = host
        self._key = os.urandom(32)
        self._salt = int.from_bytes(os.urandom(8), "big")
        self._client_header = prepared.table.client_header.lower().encode()
        self._prepared = prepared
        self._gate: AdmissionGate | None = None
        host.set_decider(self._make_gate)
        self._counts_greenlet = gevent.spawn(self._log_counts)

    def _make_gate(self, router: Router) -> AdmissionGate:
        prepared = self._prepared
        header = self._ticket_header if prepared.table.tickets else no_ticket_header
        self._gate = AdmissionGate(
            router, prepared.settings, self._salt, self._identify, self._log_rejection,
            lambda error: log_exception("door", error), header,
        )  # fmt: skip
        return self._gate

    def apply(self, prepared: Prepared) -> None:
        """Apply new weights, shares and waits; accounts are kept. Table sizes change only with a restart."""
        self._prepared = prepared
        self._client_header = prepared.table.client_header.lower().encode()
        if self._gate is not None:
            self._gate.controller.configure(prepared.settings)

    def stop(self) -> None:
        """Remove admission control; waiting requests go to the router."""
        self._counts_greenlet.kill()
        self._host.set_decider(None)
        if self._gate is not None:
            self._host.resubmit(self._gate.waiting_requests())

    def _identify(self, event: i.RequestArrived) -> Caller:
        request = self._host.find_request(event.request)
        if request is None:
            return Caller(0)
        fields = request.message.fields
        name = fields.get(self._client_header, b"") if self._client_header else b""
        if not name:
            name = self._address_prefix(request.answer.client_address())
        client = xxhash.xxh3_64_intdigest(name, self._salt ^ event.tenant)
        prompt = xxhash.xxh3_64_intdigest(request.message.body, self._salt ^ event.session)
        repeat = True if fields.get(b"x-repeat") == RETRY_MARK else None
        return Caller(client, prompt, self._verify(fields.get(TICKET_HEADER.lower().encode(), b"")), repeat)

    def _address_prefix(self, address: str) -> bytes:
        """The leading bits of an IPv4 address; empty for any other address."""
        try:
            bits = int.from_bytes(inet_aton(address), "big")
        except OSError:
            return b""
        return (bits >> 32 - self._prepared.table.address_bits).to_bytes(4, "big")

    # --- tickets

    def _signature(self, ticket: bytes) -> bytes:
        return blake2b(ticket, key=self._key, digest_size=12).hexdigest().encode()

    def _ticket_header(self, ticket: int) -> bytes:
        number = b"%d" % ticket
        return b"%s: %s.%s" % (TICKET_HEADER.encode(), number, self._signature(number))

    def _verify(self, text: bytes) -> int:
        """The ticket that a client presents; 0 if there is none or this router did not issue it."""
        number, dot, signature = text.partition(b".")
        if (
            not dot
            or len(number) > 15
            or not number.isdigit()
            or not hmac.compare_digest(signature, self._signature(number))
        ):
            return 0
        return int(number)

    # --- log

    def _log_rejection(self, rejection: Rejection) -> None:
        request, answer = self._host.find_request(rejection.event.request), rejection.answer
        log(
            "door_away", request=answer.request, id=request.id if request is not None else "",
            tenant=rejection.event.tenant, why=answer.why, retry_after_ms=round(answer.retry_after_ms),
            promised=answer.promised, fullness=round(answer.fullness, 3), ahead=round(answer.ahead),
            limit=round(answer.limit), client_ahead=round(answer.client_ahead),
            client_limit=round(answer.client_limit),
        )  # fmt: skip

    def _log_counts(self) -> None:
        """Log the counts whenever they have changed."""
        last_logged: dict[str, int] = {}
        while True:
            gevent.sleep(COUNTS_INTERVAL_S)
            if self._gate is None:
                continue
            controller = self._gate.controller
            counts = dict(controller.counts)
            if counts != last_logged:
                last_logged = counts
                log(
                    "door_counts", **counts, waiting=len(controller.waiting),
                    callers=len(controller.calendar.reservations),
                    come_back_share=round(controller.calendar.return_share, 3),
                    rate=round(controller.capacity.rate, 3),
                    prompts_forgotten=controller.retry_detector.forgotten,
                )  # fmt: skip
