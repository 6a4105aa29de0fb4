"""Settings of limits: validation, changes of version, division of a limit, prefixes of keys."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from myrtlespar.config import ConfigError
from myrtlespar.fleet.settings import FleetSettings, limits_change_error, read_fleet
from myrtlespar.quota.settings import GrantSettings, Limit, LimitKind, caller_prefix

FILE = "fleet: f\nsite: a\nname: a1\nbind: 127.0.0.1:7100\nelectorate: {version: 1, sites: {a: [a1, a2, a3]}}\n"


@pytest.mark.parametrize(
    ("settings", "key"),
    [
        ("limits: {x: {per_s: 1, at_once: 2}}", "limits.x.per_s"),
        ("limits: {x: {}}", "limits.x.per_s"),
        ("limits: {x: {per_s: 0.5}}", "limits.x.per_s"),
        ("limits: {x: {per_s: 5, standing: 1.5}}", "limits.x.standing"),
        ("limits: {x: {per_s: 5, kind: loose}}", "limits.x.kind"),
        ("limits: {x: {per_s: 5, speed: 1}}", "limits.x.speed"),
        ("limits: {x: {per_s: 5, by: moon}}", "limits.x.by"),
        ("limits: {'a b': {per_s: 5}}", "limits.a b"),
        ("grants: {drift: 0}", "grants.drift"),
        ("grants: {grant_ms: 300}", "grants.ask_ms"),
        ("grants: {members_most: 2}", "grants.members_most"),
        ("limits: {x: {per_s: 5, counts: calls}}", "limits.x.counts"),
        ("repeats: {share: -1}", "repeats.share"),
        ("repeats: {share: 0.1, burst: 0}", "repeats.burst"),
        ("limits: {x: {at_once: 5, until: ''}}", "limits.x.until"),
    ],
)
def test_an_invalid_limit_is_reported_in_one_line_naming_the_key(tmp_path: Path, settings: str, key: str) -> None:
    path = tmp_path / "fleet.yaml"
    path.write_text(FILE + settings)
    with pytest.raises(ConfigError) as caught:
        read_fleet(str(path), "a1")
    assert str(caught.value).startswith(key)
    assert "\n" not in str(caught.value)


def test_a_strict_limit_without_an_electorate_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "fleet.yaml"
    path.write_text(
        FILE.replace("electorate: {version: 1, sites: {a: [a1, a2, a3]}}\n", "") + "limits: {x: {per_s: 5}}"
    )
    with pytest.raises(ConfigError, match=r"^limits\.x\.kind: strict needs an electorate"):
        read_fleet(str(path), "a1")
    path.write_text(path.read_text().replace("per_s: 5", "per_s: 5, kind: advisory"))
    assert read_fleet(str(path), "a1").limits["x"].kind is LimitKind.ADVISORY


def test_a_reload_changes_amounts_one_version_at_a_time(tmp_path: Path) -> None:
    def read(limits: str) -> FleetSettings:
        path = tmp_path / "fleet.yaml"
        path.write_text(FILE + limits)
        return read_fleet(str(path), "a1")

    old = read("limits: {x: {per_s: 20}, y: {at_once: 5}}")
    faults = [
        limits_change_error(old, read(limits))
        for limits in (
            "limits_version: 2\nlimits: {x: {per_s: 10, before: 20}, y: {at_once: 5}}",
            "limits: {x: {per_s: 10, before: 20}, y: {at_once: 5}}",
            "limits_version: 2\nlimits: {x: {per_s: 10}, y: {at_once: 5}}",
            "limits_version: 2\nlimits: {x: {per_s: 10, before: 30}, y: {at_once: 5}}",
            "limits_version: 2\nlimits: {x: {per_s: 20}}",
            "limits_version: 2\nlimits: {x: {per_s: 20}, y: {per_s: 5, before: 5}}",
            "limits_version: 2\nlimits: {x: {per_s: 20, standing: 0.2}, y: {at_once: 5}}",
        )
    ]
    assert [fault.partition(":")[0] for fault in faults] == [
        "",
        "limits_version",
        "limits.x.before",
        "limits.x.before",
        "limits.y",
        "limits.y",
        "limits.x",
    ]
    with pytest.raises(ConfigError, match=r"^limits\.x\.per_day: needs state"):
        read("limits: {x: {per_day: 20}}")


@given(st.integers(1, 400), st.integers(1, 400), st.floats(0, 1), st.integers(1, 40))
def test_in_a_change_the_sum_never_exceeds_the_greater_amount_whichever_version_members_use(
    amount: int, amount_before: int, standing: float, members: int
) -> None:
    settings = GrantSettings()
    limit = Limit(per_s=float(amount), before=float(amount_before), standing=standing)
    limit_before = Limit(per_s=float(amount_before), standing=standing)
    unsettled = settings.split(limit, members, False)
    settled = settings.split(limit, members)
    old = settings.split(limit_before, members)
    for pool, share in (
        (old.pool, max(old.guaranteed_share, unsettled.guaranteed_share)),
        (unsettled.pool, max(split.guaranteed_share for split in (old, unsettled, settled))),
        (settled.pool, max(settled.guaranteed_share, unsettled.guaranteed_share)),
    ):
        assert pool + share * members <= max(amount, amount_before)


def test_the_caller_prefix_of_a_key_is_safe_in_a_limit_s_key() -> None:
    assert [caller_prefix(key, ":") for key in ("shop:17", "shop", "", ":17")] == ["shop", "-", "-", "-"]
    assert caller_prefix("a b:1", ":").startswith("#")
    assert len(caller_prefix("x" * 100 + ":1", ":")) == 9
