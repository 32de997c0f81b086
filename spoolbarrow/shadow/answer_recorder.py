"""Records one answer for comparison: times, words, finish reason and usage.

The record is bounded. The text is kept only if the operator allows it; otherwise it holds keyed digests,
chained word by word, which show a common opening but reveal no word without the key (tenants are
competitors). No I/O; times are ms since the request was sent.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Any

import msgspec

MAX_EVENTS = 2048  # events whose times are kept
MAX_TEXT_CHARS = 65_536  # of the recorded text
MAX_LINE_BYTES = 65_536  # bytes of an incomplete line
DIGEST_BYTES = 4  # bytes per word
_WORDS = re.compile(r"\s*\S+")


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


_decoder = msgspec.json.Decoder(_Event)


class AnswerRecorder:
    """Parses an answer's events from arbitrarily split bytes."""

    def __init__(self) -> None:
        self.times: list[float] = []  # of events with text
        self.events = 0
        self.finish = ""
        self.prompt_tokens = self.completion_tokens = 0
        self.whole = False  # `[DONE]` was received
        self.octets = 0
        self.cut = False  # the answer exceeds the bounds of the record
        self._text: list[str] = []
        self._text_chars = 0
        self._partial_line = b""

    def feed(self, data: bytes, at_ms: float) -> None:
        """Parse the next bytes of the answer."""
        self.octets += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE_BYTES:
            self._partial_line, self.cut = b"", True
        for line in lines:
            if line.startswith(b"data:"):
                self._parse_event(line[5:].strip(), at_ms)

    def _parse_event(self, payload: bytes, at_ms: float) -> None:
        if payload == b"[DONE]":
            self.whole = True
            return
        try:
            event = _decoder.decode(payload)
        except msgspec.DecodeError:
            return  # another format: only octets and the times of other events are recorded
        if event.usage is not None:
            self.prompt_tokens = event.usage.prompt_tokens
            self.completion_tokens = event.usage.completion_tokens
        for choice in event.choices:
            self.finish = choice.finish_reason or self.finish
            if choice.delta.content:
                self.events += 1
                self._add_text(choice.delta.content, at_ms)

    def _add_text(self, text: str, at_ms: float) -> None:
        if len(self.times) < MAX_EVENTS:
            self.times.append(round(at_ms, 2))
        remaining_chars = MAX_TEXT_CHARS - self._text_chars
        self.cut = self.cut or len(text) > remaining_chars or len(self.times) == MAX_EVENTS
        if remaining_chars > 0:
            self._text.append(text[:remaining_chars])
            self._text_chars += min(len(text), remaining_chars)

    def to_record(self, key: bytes, with_text: bool) -> dict[str, Any]:
        """The record as a dict: with the text, or with digests and lengths only."""
        text = "".join(self._text)
        record: dict[str, Any] = {
            "times": self.times,
            "events": self.events,
            "tokens": self.completion_tokens or self.events,
            "prompt_tokens": self.prompt_tokens,
            "finish": self.finish,
            "whole": self.whole,
            "octets": self.octets,
            "length": len(text),
            "cut": self.cut,
            "words": digest_chain(key, text),
        }
        if with_text:
            record["text"] = text
        return record


def digest_chain(key: bytes, text: str) -> str:
    """One digest per word, each over all words up to it (keyed BLAKE2b, RFC 7693), in hex.

    Two answers under one key share as many digests as their openings share words.
    """
    digests, previous_digest = [], b""
    for word in _WORDS.findall(text):
        previous_digest = blake2b(
            previous_digest + word.encode("utf-8", "surrogatepass"), key=key[:64], digest_size=16
        ).digest()
        digests.append(previous_digest[:DIGEST_BYTES].hex())
    return "".join(digests)
