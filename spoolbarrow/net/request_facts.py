"""Parses and validates request headers into the facts that routing decisions use."""

from __future__ import annotations

from spoolbarrow import interface as i
from spoolbarrow.config import Config
from spoolbarrow.errors import Problem
from spoolbarrow.net.http1 import HttpError, Message


class UnknownName(Problem):
    """A stream handed over by another process names a class or a tenant that this process does not have."""

    where = "the key whose names lack it"
    remedy = "Keep the names that requests use until the process that accepted them has ended."


MAX_ID_BYTES = 256  # it is kept as long as the request is open, and logged
MAX_BUDGET_FACTOR = 2.0  # times the class's deadline: the longest that a client's time-out is honoured
MAX_BUDGET_MS = 86_400_000.0  # a day; a longer time-out is invalid
MARGIN_SHARE = 0.25  # of the client's time-out: upper bound of the safety margin for the response's way back
RESUME_VALUE = b"again"


def read_facts(message: Message, config: Config) -> tuple[i.RequestArrived, float]:
    """The facts and the time budget in ms of a request; HttpError 400 if a header is malformed.

    The budget is the client's time-out, less a margin for the response's way back.
    """
    fields = message.fields
    id = fields.get(b"x-correlation-id")
    if not id:
        raise HttpError(400, "X-Correlation-Id: missing")
    if len(id) > MAX_ID_BYTES:
        raise HttpError(400, f"X-Correlation-Id: over {MAX_ID_BYTES} bytes")
    cls = _named(fields, b"x-service-class", config.classes)
    tenant = _named(fields, b"x-account", config.tenants) if config.tenants else 0
    values: dict[bytes, bytes] = {}
    for pair in fields.get(b"x-facts", b"").split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if name and not equals:
            raise HttpError(400, "X-Facts: not NAME=VALUE,...")
        values[name] = value
    lengths = (b"prompt_len", b"prefix_len", b"max_out")
    prompt, shared, answer = (_length(values, name, config) for name in lengths)
    time_left, of_class = fields.get(b"x-time-left-ms"), config.settings.classes[cls]
    budget = of_class.deadline_ms if time_left is None else _number(time_left, 10, "X-Time-Left-Ms")
    if budget > MAX_BUDGET_MS:
        raise HttpError(400, "X-Time-Left-Ms: out of range")
    # Limits the life of timers. A deadline grows twice as fast as the latency objective.
    longest = MAX_BUDGET_FACTOR * (of_class.deadline_ms + 2.0 * of_class.aim_ms_per_token * prompt)
    budget = min(budget, longest)
    margin = min(config.options.answer_margin_ms, MARGIN_SHARE * budget)
    facts = i.RequestArrived(
        request="",
        cls=cls,
        budget_ms=0.0,
        tenant=tenant,
        prompt_tokens=prompt,
        shared_tokens=shared,
        max_answer_tokens=answer,
        session=_number(fields.get(b"x-session-key", b"0"), 16, "X-Session-Key"),
        prefix=_number(values.get(b"prefix", b"0"), 16, "X-Facts: prefix"),
        resumed=fields.get(b"x-repeat") == RESUME_VALUE,
        settings=config.settings,
    )
    return facts, budget - margin


def handover_facts(cls: str, tenant: str, config: Config) -> i.RequestArrived:
    """The facts of a request accepted by another process; UnknownName if the settings lack a name."""
    if cls not in config.classes:
        raise UnknownName("settings.Classes", f"a stream of the class {cls!r} was passed on")
    if tenant not in config.tenants and (tenant or config.tenants):
        raise UnknownName("settings.Tenants", f"a stream of the tenant {tenant!r} was passed on")
    number = config.tenants.get(tenant, 0)
    return i.RequestArrived(
        request="", cls=config.classes[cls], budget_ms=0.0, tenant=number, settings=config.settings
    )


def _named(fields: dict[bytes, bytes], header: bytes, names: dict[str, int]) -> int:
    name = fields.get(header, b"").decode("latin-1")
    if name not in names:
        raise HttpError(400, f"{header.decode()}: unknown value {name!r}")
    return names[name]


def _length(values: dict[bytes, bytes], name: bytes, config: Config) -> int:
    what = f"X-Facts: {name.decode()}"
    length = _number(values.get(name, b"0"), 10, what)
    if length > config.options.max_body:  # a token has at least one character
        raise HttpError(400, f"{what}: out of range")
    return length


def _number(text: bytes, base: int, what: str) -> int:
    # Only plain digits: int() would also accept signs, blanks and underscores.
    if not text.isalnum() or len(text) > 20:
        raise HttpError(400, f"{what}: not a number")
    try:
        return int(text, base)
    except ValueError:
        raise HttpError(400, f"{what}: not a number") from None
