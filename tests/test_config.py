"""Errors in the configuration name their key; invalid text is never accepted."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow import config
from tests.router_harness import endpoint_entry, make_config


def set_path(raw: dict[str, Any], path: str, value: object) -> dict[str, Any]:
    *parents, last = path.split(".")
    container: Any = raw
    for key in parents:
        container = container.setdefault(key, {}) if isinstance(container, dict) else container[int(key)]
    container[last] = value
    return raw


@pytest.mark.parametrize(
    ("path", "value", "key"),
    [
        ("listen", "nowhere", "listen"),
        ("listen", "h:99999", "listen"),
        ("discovery", ":1", "discovery"),
        ("seed", "xyz", "seed"),
        ("name", 7, "name"),
        ("settings", {"Classes": []}, "settings.Balancers"),
        ("limits.sockets", 10, "limits.sockets"),
        ("limits.memory_mb", 0, "limits.memory_mb"),
        ("known.endpoints", [{"name": "e"}], "known.endpoints[0].address"),
        ("options.probe_timeout_ms", -1, "options.probe_timeout_ms"),
        ("options.proble_timeout_ms", 1, "options"),
        ("options.watch_silence_ms", 2_551, "options.watch_silence_ms"),  # over 6 s with the others
        ("options.call_timeout_ms", 3_251, "options.call_timeout_ms"),
        ("settings.Classes.0.AimMs", "soon", "settings.Classes[0].AimMs"),
        ("settings.Classes.0.Effect", "odd", "settings.Classes.Effect"),
        ("settings.Balancers", 0, "settings"),
        ("settings.Limits.ConnIdleMs", 0, "settings.Limits.ConnIdleMs"),
        ("settings.Fees.Probe", -0.1, "settings.Fees.Probe"),
        ("settings.Fees.Waste", "dear", "settings.Fees.Waste"),
    ],
)
def test_an_error_names_its_key(path: str, value: object, key: str) -> None:
    raw = set_path(make_config([endpoint_entry("e", 1)]), path, value)
    with pytest.raises(config.ConfigError) as raised:
        config.parse(msgspec.json.encode(raw))
    assert str(raised.value).startswith(key + ":")


def test_limits_split_the_machines_resources() -> None:
    parsed = config.parse(msgspec.json.encode(make_config([], limits={"sockets": 1024, "memory_mb": 64})))
    assert parsed.max_inbound + parsed.max_outbound < 1024 - 16
    assert parsed.max_held_bytes == 16 << 20
    assert (parsed.tenants, parsed.seed) == ({"acme": 0, "other": 1}, 0x8C1F)


def test_a_missing_file_is_reported_under_its_variable(tmp_path: Path) -> None:
    for environment in ({}, {"NODE_CONFIG": str(tmp_path / "none.json")}):
        with pytest.raises(config.ConfigError, match=r"^NODE_CONFIG: "):
            config.load(environment)


def test_the_example_is_a_valid_configuration() -> None:
    parsed = config.parse((Path(__file__).parent.parent / "examples" / "config.json").read_bytes())
    assert parsed.listen == ("127.0.0.1", 7070) and parsed.settings.subscribe


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(0, 4000), st.binary(min_size=1, max_size=3))
def test_damaged_text_is_a_config_error_or_still_a_configuration(place: int, damage: bytes) -> None:
    text = bytearray(msgspec.json.encode(make_config([endpoint_entry("e", 1)])))
    text[place % len(text) : place % len(text) + len(damage)] = damage
    try:
        made = config.parse(bytes(text))
    except config.ConfigError as error:
        assert str(error).partition(":")[0]
    else:
        assert made.settings.classes
