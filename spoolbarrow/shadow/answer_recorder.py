"""One answer as it is read for comparison: times, words, finish, usage. Pure.

Owns what is kept of an answer, bounded. Of the text itself only what the operator allows is kept: else keyed
digests, chained word by word, so that a common opening shows in them and no word can be guessed back without
the key (tenants are competitors). Times are ms since the answer was asked for.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Any

import msgspec

MOST_EVENTS = 2048  # whose times are kept
MOST_TEXT = 65_536  # characters
MOST_LINE = 65_536  # bytes of a line that is not whole yet
DIGEST = 4  # bytes a word
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
    """An answer's events, fed as bytes cut anywhere."""

    def __init__(self) -> None:
        self.times: list[float] = []  # of events with text
        self.events = 0
        self.finish = ""
        self.prompt_tokens = self.completion_tokens = 0
        self.whole = False  # `[DONE]` has come
        self.octets = 0
        self.cut = False  # more came than is kept
        self._text: list[str] = []
        self._size = 0
        self._line = b""

    def feed(self, data: bytes, at_ms: float) -> None:
        """What came next."""
        self.octets += len(data)
        *lines, self._line = (self._line + data).split(b"\n")
        if len(self._line) > MOST_LINE:
            self._line, self.cut = b"", True
        for line in lines:
            if line.startswith(b"data:"):
                self._event(line[5:].strip(), at_ms)

    def _event(self, said: bytes, at_ms: float) -> None:
        if said == b"[DONE]":
            self.whole = True
            return
        try:
            event = _decoder.decode(said)
        except msgspec.DecodeError:
            return  # not of this form: octets and times of the others are compared
        if event.usage is not None:
            self.prompt_tokens = event.usage.prompt_tokens
            self.completion_tokens = event.usage.completion_tokens
        for choice in event.choices:
            self.finish = choice.finish_reason or self.finish
            if choice.delta.content:
                self.events += 1
                self._add(choice.delta.content, at_ms)

    def _add(self, text: str, at_ms: float) -> None:
        if len(self.times) < MOST_EVENTS:
            self.times.append(round(at_ms, 2))
        room = MOST_TEXT - self._size
        self.cut = self.cut or len(text) > room or len(self.times) == MOST_EVENTS
        if room > 0:
            self._text.append(text[:room])
            self._size += min(len(text), room)

    def told(self, key: bytes, with_text: bool) -> dict[str, Any]:
        """What is kept of it: with its text, or with digests and lengths alone."""
        text = "".join(self._text)
        kept: dict[str, Any] = {
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
            kept["text"] = text
        return kept


def digest_chain(key: bytes, text: str) -> str:
    """A digest for each word, each of all words up to it (BLAKE2b keyed, RFC 7693), in hex.

    Two answers of one key agree in as many digests as their openings have words in common.
    """
    found, state = [], b""
    for word in _WORDS.findall(text):
        state = blake2b(state + word.encode("utf-8", "surrogatepass"), key=key[:64], digest_size=16).digest()
        found.append(state[:DIGEST].hex())
    return "".join(found)
