"""The simulated fleet keeps its promises, and the judge of promises finds false beliefs."""

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


def beliefs_of(script: str, seed: int = 1) -> tuple[SimulatedFleet, GroundTruth]:
    found = parse(script)
    fleet = SimulatedFleet(found.sites, membership_factory(SETTINGS), seed, sizes=False)
    fleet.start()
    ScriptPlayer(fleet).schedule(found.steps, 6000)
    fleet.run(6000 + found.length_ms)
    return fleet, GroundTruth(found.members, fleet.actions, 6000 + found.length_ms, SETTINGS.pause_ms())


@pytest.mark.parametrize(
    ("lie", "rule"),
    [
        (Observation(19_000, "a1", "member", "c1", FAILED, 10**13), "no false failure"),
        (Observation(12_000, "a1", "member", "b2", ALIVE, 10**13), "failure known"),
        (Observation(12_000, "a1", "member", "c1", None, 0), "presence known"),
        (Observation(12_000, "a1", "member", "c1", ALIVE, 7), "lives grow"),
        (Observation(9_500, "a1", "standing", "", QuorumStatus.WHOLE), "standing right"),
        (Observation(9_500, "a1", "standing", "a", QuorumStatus.MINORITY), "standing right"),
    ],
)
def test_the_judge_finds_a_false_belief(lie: Observation, rule: str) -> None:
    fleet, truth = beliefs_of(KILL)
    assert check_membership(truth, fleet.beliefs, SETTINGS, fleet.sites).broken == []
    found = check_membership(truth, [*fleet.beliefs, lie], SETTINGS, fleet.sites).broken
    assert any(line.startswith(rule) for line in found), found


def test_the_simulation_is_deterministic_and_depends_on_the_seed() -> None:
    runs = [[dataclasses.astuple(b) for b in beliefs_of(KILL, seed)[0].beliefs] for seed in (3, 3, 4)]
    assert runs[0] == runs[1]
    assert runs[0] != runs[2]


@pytest.mark.parametrize("members", [0, 120])
def test_simulated_fleets_keep_their_promises(members: int) -> None:
    script = KILL.replace(
        "[{at_s: 1, kill: b2}]",
        "[{at_s: 1, kill: b2, restart_after_s: 4}," "{at_s: 1, link: [all, all], drop: 0.05, jitter_ms: 50}]",
    )
    done = play(parse(script, members), 1)
    assert done["broken"] == []
    assert done["false_failures"] == 0
    assert done["detect_ms"]["worst"] < 4000
    assert done["members"] >= (members or 9)


def test_without_lateness_detection_a_stopped_member_blames_others() -> None:
    """The same stop with and without lateness looked at: it is what keeps others from being failed."""
    script = parse(
        "fleet: {sites: {a: 3, b: 3}}\nlength_s: 20\nevents:\n"
        + "".join(f"  - {{at_s: {n}, pause: a1, for_s: 1.2}}\n" for n in range(1, 16, 2))
    )
    with_it = play(script, 1)
    without = play(script, 1, MembershipSettings(health_most=0, late_ms=86_400_000))
    blamed = "refuted"
    assert with_it["counts"].get("late", 0) > 0
    assert without["counts"].get("late", 0) == 0
    assert with_it["counts"].get(blamed, 0) <= without["counts"].get(blamed, 0)
    assert with_it["broken"] == []
