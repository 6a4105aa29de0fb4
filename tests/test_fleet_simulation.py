"""Simulated fleets keep the invariants of membership, and the invariant checks detect false observations."""

from __future__ import annotations

import dataclasses

import pytest

from myrtlespar.fleet_tests.ground_truth import GroundTruth
from myrtlespar.fleet_tests.invariants import check_membership
from myrtlespar.fleet_tests.observations import Observation
from myrtlespar.fleet_tests.script import parse
from myrtlespar.membership.messages import ALIVE, FAILED
from myrtlespar.membership.quorum import QuorumStatus
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.simulation.fleet import SimulatedFleet
from myrtlespar.simulation.member_factory import membership_factory
from myrtlespar.simulation.runner import play
from myrtlespar.simulation.script_player import ScriptPlayer
from tests.membership_builders import SETTINGS

KILL = "fleet: {sites: {a: 3, b: 3, c: 3}}\nlength_s: 14\nevents: [{at_s: 1, kill: b2}]\n"


def run_script(text: str, seed: int = 1) -> tuple[SimulatedFleet, GroundTruth]:
    script = parse(text)
    fleet = SimulatedFleet(script.sites, membership_factory(SETTINGS), seed, measure_bytes=False)
    fleet.start()
    ScriptPlayer(fleet).schedule(script.steps, 6000)
    fleet.run(6000 + script.length_ms)
    return fleet, GroundTruth(script.members, fleet.actions, 6000 + script.length_ms, SETTINGS.pause_ms())


@pytest.mark.parametrize(
    ("false_observation", "invariant"),
    [
        (Observation(19_000, "a1", "member", "c1", FAILED, 10**13), "no false failure"),
        (Observation(12_000, "a1", "member", "b2", ALIVE, 10**13), "failure known"),
        (Observation(12_000, "a1", "member", "c1", None, 0), "presence known"),
        (Observation(12_000, "a1", "member", "c1", ALIVE, 7), "lives grow"),
        (Observation(9_500, "a1", "standing", "", QuorumStatus.WHOLE), "standing right"),
        (Observation(9_500, "a1", "standing", "a", QuorumStatus.MINORITY), "standing right"),
    ],
)
def test_the_invariant_checks_detect_a_false_observation(false_observation: Observation, invariant: str) -> None:
    fleet, truth = run_script(KILL)
    assert check_membership(truth, fleet.observations, SETTINGS, fleet.sites).broken == []
    broken = check_membership(truth, [*fleet.observations, false_observation], SETTINGS, fleet.sites).broken
    assert any(line.startswith(invariant) for line in broken), broken


def test_the_simulation_is_deterministic_and_depends_on_the_seed() -> None:
    runs = [
        [dataclasses.astuple(observation) for observation in run_script(KILL, seed)[0].observations]
        for seed in (3, 3, 4)
    ]
    assert runs[0] == runs[1]
    assert runs[0] != runs[2]


@pytest.mark.parametrize("members", [0, 120])
def test_simulated_fleets_keep_the_invariants(members: int) -> None:
    script = KILL.replace(
        "[{at_s: 1, kill: b2}]",
        "[{at_s: 1, kill: b2, restart_after_s: 4}," "{at_s: 1, link: [all, all], drop: 0.05, jitter_ms: 50}]",
    )
    result = play(parse(script, members), 1)
    assert result["broken"] == []
    assert result["false_failures"] == 0
    assert result["detect_ms"]["worst"] < 4000
    assert result["members"] >= (members or 9)


def test_lateness_detection_keeps_a_paused_member_from_suspecting_others() -> None:
    """After a pause, a member's timers are overdue, so it would suspect members that were not silent.

    Lateness detection prevents that: with it, members refute no more suspicions than without it.
    """
    script = parse(
        "fleet: {sites: {a: 3, b: 3}}\nlength_s: 20\nevents:\n"
        + "".join(f"  - {{at_s: {n}, pause: a1, for_s: 1.2}}\n" for n in range(1, 16, 2))
    )
    with_detection = play(script, 1)
    without_detection = play(script, 1, MembershipSettings(health_most=0, late_ms=86_400_000))
    refutations = "refuted"
    assert with_detection["counts"].get("late", 0) > 0
    assert without_detection["counts"].get("late", 0) == 0
    assert with_detection["counts"].get(refutations, 0) <= without_detection["counts"].get(refutations, 0)
    assert with_detection["broken"] == []
