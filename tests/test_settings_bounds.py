"""Settings at the limits of their ranges are accepted and lead to decisions; invalid ones name their key."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spoolbarrow import config
from spoolbarrow import interface as i
from spoolbarrow.net.drain_schedule import LONGEST_MS, DrainStep, shutdown_schedule
from spoolbarrow.router import Router
from tests.router_harness import endpoint_entry, make_config
from tests.test_config import set_path

ROOM_MS = 200.0  # between the last responses of a drain and SIGKILL, to write them
BEYOND_MS = 700.0  # SIGKILL comes this long after the longest deadline, counted as 3 s at most
DRAWN = settings(derandomize=True, deadline=None, max_examples=150)


def parse_with_literals(raw: dict[str, Any], **literals: str) -> config.Config:
    """Parse a configuration, replacing the marks with these JSON literals."""
    text = msgspec.json.encode(raw)
    for mark, literal in literals.items():
        text = text.replace(b'"@%s"' % mark.encode(), literal.encode())
    return config.parse(text)


@pytest.mark.parametrize(
    ("path", "literals"),
    [
        ("settings.Classes.0.AimMs", ["-1", "0", "1e308"]),
        ("settings.Classes.0.DeadlineMs", ["-1", "0", "1e308"]),
        ("settings.Classes.0.Importance", ["-1"]),
        ("settings.Classes.0.RepeatWindowMs", ["-1", "1e308"]),
        ("settings.Classes.0.LateShare", ["-0.1"]),
        ("settings.Tenants.0.Portion", ["-1"]),
        ("settings.Tenants.0.QuotaPerS", ["-1"]),
        ("settings.TickMs", ["-1", "1e308"]),
        ("settings.Limits.ConnIdleMs", ["1e308"]),
        ("settings.Limits.ConnectTimeoutMs", ["1e308"]),
        ("settings.Limits.MaxAttempts", ["-1", "0"]),
        ("settings.Limits.MaxOpen", ["0"]),
        ("settings.Limits.MaxRetryAfterMs", ["-1", "1e308"]),
        ("settings.Invariants.ColdFrom", ["-0.1", "0", "1.01", "1e308"]),
        ("settings.Invariants.ColdMs", ["-1", "1e308"]),
        ("settings.Invariants.DrainGraceMs", ["-1", "1e308"]),
        ("settings.Invariants.OverloadFactor", ["-1"]),
        ("settings.Invariants.TipAfterMs", ["-1", "1e308"]),
        ("settings.Specifics.AimUsPer1000PromptTokens", ["[-5]"]),
        ("settings.Specifics.TokenAimMs", ["[-5]"]),
        ("settings.Classes", ["[]"]),
        ("options.head_timeout_ms", ["1e308"]),
        ("limits.memory_mb", ["1e308"]),
        ("limits.cores", ["-1"]),
    ],
)
def test_an_out_of_range_value_names_its_key(path: str, literals: list[str]) -> None:
    for literal in literals:
        raw = set_path(make_config([endpoint_entry("e", 1)]), path, "@value")
        with pytest.raises(config.ConfigError) as raised:
            parse_with_literals(raw, value=literal)
        key = path.replace(".0.", "[0].")
        assert str(raised.value).startswith(key), f"{literal}: {raised.value}"


FIGURES = st.sampled_from([-1.0, 0.0, 1e-9, 0.001, 1.0, 20.0, 999.0, 3000.0, 6e5, 1e9, 1e200])
SHARES = st.sampled_from([-0.1, 0.0, 1e-9, 0.2, 0.999, 1.0, 1.5])
COUNTS = st.sampled_from([-1, 0, 1, 2, 7, 1000])
NAMES = st.lists(st.sampled_from(["chat", "Chat", "CHAT", "b", "", "a b"]), max_size=4)
CLASSES = st.fixed_dictionaries(
    {"AimMs": FIGURES, "DeadlineMs": FIGURES},
    optional={
        "Importance": FIGURES,
        "Effect": st.sampled_from(["retryable", "dedup", "fragile"]),
        "Group": st.sampled_from(["all", "zone", "cell"]),
        "RepeatWindowMs": FIGURES,
        "LateShare": SHARES,
        "Stream": st.booleans(),
        "Name": st.sampled_from(["chat", "Chat", "b"]),
    },
)
SETTINGS = st.fixed_dictionaries(
    {"Balancers": COUNTS, "Classes": st.lists(CLASSES, max_size=3)},
    optional={
        "MyZone": COUNTS,
        "Zones": NAMES,
        "Discovery": st.sampled_from(["automatic", "subscribe"]),
        "TickMs": FIGURES,
        "Limits": st.fixed_dictionaries(
            {},
            optional={
                "MaxAttempts": COUNTS,
                "MaxOpen": COUNTS,
                "Probing": st.booleans(),
                "MaxRetryAfterMs": FIGURES,
                "ConnIdleMs": FIGURES,
            },
        ),
        "Invariants": st.fixed_dictionaries(
            {},
            optional={
                "ColdFrom": SHARES,
                "ColdMs": FIGURES,
                "DrainGraceMs": FIGURES,
                "OverloadFactor": FIGURES,
                "TipAfterMs": FIGURES,
            },
        ),
    },
)


LEGAL = st.fixed_dictionaries(
    {
        "Balancers": st.sampled_from([1, 2, 40]),
        "Classes": st.lists(
            st.fixed_dictionaries(
                {
                    "Name": st.sampled_from(["chat", "Chat", "CHAT", "b"]),
                    "AimMs": st.sampled_from([50.0, 1000.0, 6e5]),
                    "DeadlineMs": st.sampled_from([0.01, 20.0, 100.0, 1000.0, 3000.0, 6e5]),
                    "Effect": st.sampled_from(["retryable", "dedup", "fragile"]),
                    "RepeatWindowMs": st.sampled_from([0.0, 1.0, 6e5]),
                    "Importance": st.sampled_from([0.0, 1.0, 1e6]),
                }
            ),
            min_size=1,
            max_size=4,
            unique_by=lambda one: one["Name"],
        ),
        "Tenants": st.sampled_from([[], [{"Name": "a", "Portion": 0.0}], [{"Name": "a"}, {"Name": "A"}]]),
        "Zones": st.sampled_from([[], ["a"], ["a", "b", "A"]]),
        "Discovery": st.sampled_from(["automatic", "subscribe"]),
        "TickMs": st.sampled_from([0.0, 1.0, 500.0]),
        "Limits": st.fixed_dictionaries(
            {
                "MaxAttempts": st.sampled_from([1, 2, 100]),
                "Probing": st.booleans(),
                "MaxRetryAfterMs": st.sampled_from([0.0, 1000.0]),
            }
        ),
        "Stats": st.sampled_from([{}, {"Via": "off"}, {"Via": "on_probe"}]),
        "Invariants": st.fixed_dictionaries(
            {
                "ColdFrom": st.sampled_from([1e-9, 0.01, 0.999, 1.0]),
                "ColdMs": st.sampled_from([0.0, 1.0, 6e5]),
                "OverloadFactor": st.sampled_from([1.0, 1.001, 50.0]),
                "TipAfterMs": st.sampled_from([0.0, 2000.0, 1e6]),
                "DrainGraceMs": st.sampled_from([0.0, 1.0, 1e6]),
            }
        ),
    }
)


def decided(made: config.Config) -> list[i.Action]:
    """The decisions on a first request, with one warm and one cold engine."""
    asked = i.RequestArrived("r", cls=0, budget_ms=made.settings.classes[0].deadline_ms, prompt_tokens=40)
    router = Router(made.settings, made.seed)
    entries = (i.ReplicaEntry("e0"), i.ReplicaEntry("cold", started_at_ms=900.0))
    router.handle(1000.0, [i.ReplicaList(i.ListKind.WHOLE, entries)])
    return router.handle(1001.0, [asked])


@DRAWN
@given(SETTINGS)
def test_drawn_settings_are_decided_by_or_name_their_key(drawn: dict[str, Any]) -> None:
    """Each request has its attempt, its answer, or a timer that brings one."""
    raw = make_config([endpoint_entry("e", 1)], settings=drawn)
    try:
        made = config.parse(msgspec.json.encode(raw))
    except config.ConfigError as error:
        assert str(error).startswith("settings")
        return
    assert [one for one in decided(made) if isinstance(one, i.Send | i.Refuse | i.Fail | i.SetTimer)]


@DRAWN
@given(LEGAL, st.sampled_from([64, 100, 1024]))
def test_legal_settings_at_the_edge_are_read_and_have_a_request_sent(
    drawn: dict[str, Any], sockets: int
) -> None:
    made = config.parse(msgspec.json.encode(make_config([], settings=drawn, limits={"sockets": sockets})))
    assert made.max_inbound >= 4 and made.max_outbound >= 4
    actions = decided(made)
    assert [one for one in actions if isinstance(one, i.Send | i.Probe)]
    assert not [one for one in actions if isinstance(one, i.Refuse | i.Fail)]


@DRAWN
@given(st.lists(st.floats(1.0, 1e7), min_size=1, max_size=4), st.booleans(), st.booleans())
def test_a_drain_answers_all_with_time_to_write_before_sigkill(
    deadlines: list[float], resume: bool, succeeded: bool
) -> None:
    raw = make_config([])
    (cls,) = raw["settings"]["Classes"]
    raw["settings"]["Classes"] = [
        cls | {"Name": f"c{n}", "DeadlineMs": deadline} for n, deadline in enumerate(deadlines)
    ]
    raw["settings"]["Specifics"] = {"Resume": resume}
    times = shutdown_schedule(config.parse(msgspec.json.encode(raw)), succeeded)
    answer, killed = times.at(DrainStep.ANSWER_ALL), min(max(deadlines), LONGEST_MS) + BEYOND_MS
    assert 0 <= times.accept_ms <= times.at(DrainStep.END_ANSWERS) <= answer
    assert times.accept_ms <= times.at(DrainStep.REFUSE) <= answer
    assert times.accept_ms <= times.handover_ms <= answer
    assert times.at(DrainStep.MOVE_STREAMS) <= answer if resume else DrainStep.MOVE_STREAMS not in times.steps
    assert times.retry_after_ms >= 0
    assert answer + ROOM_MS <= killed <= times.at(DrainStep.CLOSE_ALL)
