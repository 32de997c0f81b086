"""Defines kinds of engine: parameters with units, each a number or a range to draw an engine's value from."""

from __future__ import annotations

from random import Random
from typing import Literal

import msgspec
from msgspec import Struct

Range = float | tuple[float, float]


class EngineKind(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of engine as in a scenario file; values of type Range may be given as [low, high]."""

    share: float = 1.0  # of the fleet
    slots: Range = 64  # requests that run concurrently
    waiting: Range = 200  # length of the request queue; a request beyond it is rejected
    memory_tokens: Range = 100_000
    block_tokens: int = 16
    step_ms: Range = 15.0  # of an empty step
    step_ms_per_running: Range = 0.1  # added for each running request
    step_ms_per_1000_context: Range = 0.02  # added for each 1,000 context tokens of the running requests
    read_tokens_per_s: Range = 15_000  # prefill, beside the step's own time
    read_ms_per_million_pairs: Range = 0.0  # added: each prefilled token attends to all before it
    chunk_tokens: Range = 1024  # most prompt tokens prefilled in one step
    speed: Range = 1.0  # divides all times
    cold_from: Range = 0.5  # share of full speed at the start of slow start
    cold_ms: Range = 0.0  # duration of slow start; 0: none
    warm_by: Literal["time", "work"] = "time"
    fall_multiple: float = 0.0  # N: prompts admitted within fall_ms, as a multiple of what slow start could
    fall_ms: float = 2000.0  # prefill in that time; beyond N + 2 x root of N + 2 it crashes; N 0: never
    restart_ms: Range = 3000.0  # from a crash to the next slow start
    connections: Range = 1000
    handshake_rtts: Range = 2.0
    handshake_work_ms: Range = 0.1
    idle_ms: float = 30_000.0  # idle connections are closed after this
    probe_work_ms: Range = 0.1
    report_every_ms: Range = 200.0
    report_delay_ms: Range = 50.0
    report_noise: Range = 0.1  # relative standard deviation
    error_share: Range = 0.0  # share of requests answered with an error
    cancel: Literal["none", "queued", "all"] = "all"  # which cancelled requests are dropped
    keeps_answers: bool = True


class EngineParameters(Struct, frozen=True, kw_only=True):
    """The parameters of one engine, drawn from its kind."""

    speed: float
    slots: int
    waiting: int
    blocks: int
    block_tokens: int
    step_ms: float
    per_running_ms: float
    per_context_ms: float  # for each context token
    read_ms: float  # for each prompt token
    pair_ms: float  # for each pair of a prefilled token and one before it
    chunk: int
    cold_from: float
    cold_ms: float
    by_work: bool
    fall_multiple: float
    fall_ms: float
    restart_ms: float
    connections: int
    handshake_rtts: float
    handshake_work_ms: float
    idle_ms: float
    probe_work_ms: float
    report_every_ms: float
    report_delay_ms: float
    report_noise: float
    error_share: float
    cancel: Literal["none", "queued", "all"]
    keeps_answers: bool

    def read_rate(self) -> float:
        """Prompt tokens per millisecond at full speed with full chunks, the steps' own time included."""
        return self.chunk / (self.step_ms + self.chunk * self.read_ms)


def low_high(value: Range) -> tuple[float, float]:
    """The bounds of a range; a plain number is both of its bounds."""
    return value if isinstance(value, tuple) else (value, value)


def draw(value: Range, rng: Random) -> float:
    """A value drawn uniformly from a range; a plain number uses no random draw."""
    low, high = low_high(value)
    return low if low == high else rng.uniform(low, high)


def kind_errors(name: str, kind: EngineKind) -> list[str]:
    """The invalid values, each with its key."""
    found = []
    for field in msgspec.structs.fields(EngineKind):
        value = getattr(kind, field.name)
        if isinstance(value, (int, float, tuple)) and not isinstance(value, bool):
            low, high = low_high(value)
            if low > high or low < 0:
                found.append(f"kinds.{name}.{field.name}: must be a range from low to high, not negative")
    for key in ("slots", "memory_tokens", "step_ms", "read_tokens_per_s", "chunk_tokens", "speed"):
        if low_high(getattr(kind, key))[0] <= 0:
            found.append(f"kinds.{name}.{key}: must be above 0")
    if low_high(kind.cold_from)[0] <= 0:
        found.append(f"kinds.{name}.cold_from: must be above 0")
    if kind.block_tokens < 1 or low_high(kind.memory_tokens)[0] < kind.block_tokens:
        found.append(f"kinds.{name}.block_tokens: memory must hold at least one block")
    return found


def draw_engine(kind: EngineKind, rng: Random) -> EngineParameters:
    """Draw the parameters of an engine of this kind."""
    speed = draw(kind.speed, rng)
    return EngineParameters(
        speed=speed,
        slots=max(1, round(draw(kind.slots, rng))),
        waiting=round(draw(kind.waiting, rng)),
        blocks=max(1, int(draw(kind.memory_tokens, rng) // kind.block_tokens)),
        block_tokens=kind.block_tokens,
        step_ms=draw(kind.step_ms, rng) / speed,
        per_running_ms=draw(kind.step_ms_per_running, rng) / speed,
        per_context_ms=draw(kind.step_ms_per_1000_context, rng) / 1000.0 / speed,
        read_ms=1000.0 / draw(kind.read_tokens_per_s, rng) / speed,
        pair_ms=draw(kind.read_ms_per_million_pairs, rng) / 1e6 / speed,
        chunk=max(1, round(draw(kind.chunk_tokens, rng))),
        cold_from=min(1.0, draw(kind.cold_from, rng)),
        cold_ms=draw(kind.cold_ms, rng),
        by_work=kind.warm_by == "work",
        fall_multiple=kind.fall_multiple,
        fall_ms=kind.fall_ms,
        restart_ms=draw(kind.restart_ms, rng),
        connections=round(draw(kind.connections, rng)),
        handshake_rtts=draw(kind.handshake_rtts, rng),
        handshake_work_ms=draw(kind.handshake_work_ms, rng),
        idle_ms=kind.idle_ms,
        probe_work_ms=draw(kind.probe_work_ms, rng),
        report_every_ms=draw(kind.report_every_ms, rng),
        report_delay_ms=draw(kind.report_delay_ms, rng),
        report_noise=draw(kind.report_noise, rng),
        error_share=draw(kind.error_share, rng),
        cancel=kind.cancel,
        keeps_answers=kind.keeps_answers,
    )
