"""Bounds that follow from the membership settings, and the tables of docs/membership.md that show them."""

from __future__ import annotations

from pathlib import Path

from myrtlespar.membership.quorum import BEHAVIOUR_BY_STATUS
from myrtlespar.membership.settings import MembershipSettings
from tests.membership_builders import SETTINGS


def test_bounds_follow_the_settings() -> None:
    assert SETTINGS.validation_error() == ""
    assert SETTINGS.detect_ms(24) < 4000
    assert 1000 < SETTINGS.pause_ms() < SETTINGS.detect_ms(2)
    assert MembershipSettings(suspect_min_ms=3000).validation_error().startswith("suspect_min_ms")
    assert MembershipSettings(probe_ms=0).validation_error().startswith("probe_ms")
    assert MembershipSettings(carry=9).validation_error().startswith("carry")


def test_the_design_note_matches_the_code() -> None:
    text = (Path(__file__).parent.parent / "docs" / "membership.md").read_text()
    for part, behaviours in BEHAVIOUR_BY_STATUS.items():
        assert f"| {part} | {' | '.join(behaviours)} |" in text
    for name in ("detect_ms", "standing_ms", "heal_ms"):
        row = " | ".join(f"{getattr(SETTINGS, name)(n):,.0f}" for n in (3, 9, 24, 200))
        assert f"`{name}` | {row} |" in text, row
