"""What the decisions are told of a request: its headers, checked and read."""

from __future__ import annotations

from spoolbarrow import interface as i
from spoolbarrow.config import Config
from spoolbarrow.errors import Problem
from spoolbarrow.net.http1 import HttpError, Message


class UnknownName(Problem):
    """What another process of this router passed on names a class or a tenant that this one does not have."""

    where = "the key whose names lack it"
    remedy = "Keep the names that requests use until the process that took them has ended."


MAX_PATIENCE = 2.0  # of the class's deadline: so long is a client waited for at most
ABSURD_MS = 86_400_000.0  # a day: what says that it waits longer is no client's patience
MARGIN_SHARE = 0.25  # of a client's patience, at most, an answer leaves before the client gives up
REPEATS_STREAM = b"again"


def read_facts(message: Message, config: Config) -> tuple[i.RequestArrived, float]:
    """What the decisions want to know of a request, and how long its answer has; HttpError 400 where malformed.

    That is its client's patience, less the margin for the way there.
    """
    fields = message.fields
    if not fields.get(b"x-correlation-id"):
        raise HttpError(400, "X-Correlation-Id: missing")
    cls = _named(fields, b"x-service-class", config.classes)
    tenant = _named(fields, b"x-account", config.tenants) if config.tenants else 0
    told: dict[bytes, bytes] = {}
    for pair in fields.get(b"x-facts", b"").split(b","):
        name, equals, value = pair.strip().partition(b"=")
        if name and not equals:
            raise HttpError(400, "X-Facts: not NAME=VALUE,...")
        told[name] = value
    lengths = (b"prompt_len", b"prefix_len", b"max_out")
    prompt, shared, answer = (_length(told, name, config) for name in lengths)
    left, of_class = fields.get(b"x-time-left-ms"), config.settings.classes[cls]
    budget = of_class.deadline_ms if left is None else _number(left, 10, "X-Time-Left-Ms")
    if budget > ABSURD_MS:
        raise HttpError(400, "X-Time-Left-Ms: out of range")
    # Guards the timers: each stands till its request's deadline. A deadline grows twice as fast as the aim.
    longest = MAX_PATIENCE * (of_class.deadline_ms + 2.0 * of_class.aim_ms_per_token * prompt)
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
        prefix=_number(told.get(b"prefix", b"0"), 16, "X-Facts: prefix"),
        resumed=fields.get(b"x-repeat") == REPEATS_STREAM,
        settings=config.settings,
    )
    return facts, budget - margin


def passed_facts(cls: str, tenant: str, config: Config) -> i.RequestArrived:
    """Those of a request that another process of this router took; UnknownName: not with these settings."""
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


def _length(told: dict[bytes, bytes], name: bytes, config: Config) -> int:
    what = f"X-Facts: {name.decode()}"
    length = _number(told.get(name, b"0"), 10, what)
    if length > config.options.max_body:  # a token is a character at least
        raise HttpError(400, f"{what}: out of range")
    return length


def _number(text: bytes, base: int, what: str) -> int:
    # Only plain digits: int() would also take signs, blanks and underscores.
    if not text.isalnum() or len(text) > 20:
        raise HttpError(400, f"{what}: not a number")
    try:
        return int(text, base)
    except ValueError:
        raise HttpError(400, f"{what}: not a number") from None
