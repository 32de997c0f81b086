"""The operator's own file: the one place where it is read, checked and given defaults.

`SPOOLBARROW_OPERATOR` (or `serve --operator`) names a TOML file such as `deploy/operator.toml`. It sets what
the platform's configuration does not: subsystems of this program, each in a table of its own. Without a file,
and without a table, its subsystem is off. Environment variables override single values (`ENVIRONMENT`).
"""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from spoolbarrow.config import ConfigError, find_faults

VARIABLE = "SPOOLBARROW_OPERATOR"
ENVIRONMENT = {
    "SPOOLBARROW_LOG_LEVEL": ("log", "level"),
    "SPOOLBARROW_LOG_FORMAT": ("log", "format"),
}

class LogTable(Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: what is written, and in which form."""

    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"
    format: Annotated[str, Meta(pattern="^(json|text)$")] = "json"


class Operator(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    log: LogTable = LogTable()


def read(environment: Mapping[str, str] = os.environ) -> tuple[Operator, list[str]]:
    """The operator's settings and all faults in them; with a fault, the settings are the defaults."""
    raw: dict[str, Any] = {}
    path = environment.get(VARIABLE)
    if path:
        try:
            raw = tomllib.loads(Path(path).read_text("utf-8"))
        except OSError as error:
            return Operator(), [f"{VARIABLE}: {path}: {error.strerror}"]
        except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
            return Operator(), [f"{VARIABLE}: {path}: {error}"]
    for variable, (table, key) in ENVIRONMENT.items():
        if (told := environment.get(variable)) is not None:
            inner = raw.setdefault(table, {})
            if isinstance(inner, dict):
                inner[key] = told
    faults = find_faults(raw, Operator)
    if faults:
        return Operator(), faults
    return msgspec.convert(raw, Operator), []


def load(environment: Mapping[str, str] = os.environ) -> Operator:
    """The operator's settings; ConfigError where they can't be used."""
    operator, faults = read(environment)
    if faults:
        raise ConfigError("; ".join(faults))
    return operator


def named(environment: Mapping[str, str] = os.environ) -> bool:
    """Whether there is anything of the operator's to read."""
    return bool(environment.get(VARIABLE)) or any(name in environment for name in ENVIRONMENT)
