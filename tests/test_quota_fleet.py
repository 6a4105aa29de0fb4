"""Fleet limits of real member processes under fault scenarios."""

from __future__ import annotations

import pytest

from benchmarks.fleet_change import run_once as lower_a_limit
from myrtlespar.fakes import ROOT
from myrtlespar.fleet_tests.runner import play
from myrtlespar.fleet_tests.script import ScriptError, parse, read

SCENARIOS = ROOT / "fault_scenarios/limits"


@pytest.mark.fleet
def test_a_budget_survives_the_restart_of_all_members() -> None:
    done = play(read(SCENARIOS / "budget-restarted.yaml"), 5, report_progress=lambda line: None)
    assert done["broken"] == []
    assert done["limits"]["order-day"]["most"] > 100


@pytest.mark.fleet
def test_a_limit_lowered_during_a_cut_is_never_over_the_greater_number_and_soon_not_over_the_lower() -> None:
    done = lower_a_limit(1)
    assert done["broken"] == [], done
    assert "c1" in done["told_behind"], done


@pytest.mark.fleet
def test_a_member_that_was_paused_at_the_start_still_adopts_a_lowered_limit() -> None:
    """A member that missed the settling of the previous version rejected a lowered limit permanently.

    The previous version settles (is known to be adopted by all members) 3.2 to 3.6 s after the load begins, and the
    network cut begins at 4 s, so a pause of 1.2 s is enough to miss the settling. Members that had adopted the change
    no longer announced the previous version as settled, so this member also rejected every later reload (`fleet reload
    refused`, `limits_version: version 1 is not yet known to be adopted by all members`, settled false). All others
    waited for this member: 4 starts in a window where 12 are allowed.
    """
    done = lower_a_limit(1, stopped_member="c2")
    assert done["broken"] == [], done


@pytest.mark.fleet
def test_a_strict_limit_holds_while_the_engine_is_cut_off_and_leaders_die() -> None:
    done = play(read(SCENARIOS / "engine.yaml"), 3, report_progress=lambda line: None)
    assert done["broken"] == []
    assert done["limits"]["order-farms"]["most"] > 16


def test_a_script_without_an_engine_must_not_cut_it_off() -> None:
    text = "fleet: {sites: {a: 3}, engine: %s}\nlength_s: 5\nevents: [{at_s: 1, cut: [all, engine], for_s: 2}]"
    assert parse(text % "true").engine
    with pytest.raises(ScriptError, match=r"^events\[0\]: engine: this fleet has none"):
        parse(text % "false")
