"""Plays a fault script in the simulation and judges it with the judge of real processes."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from myrtlespar.fleet_tests.ground_truth import FaultAction, GroundTruth
from myrtlespar.fleet_tests.invariants import InvariantReport, check_membership
from myrtlespar.fleet_tests.runner import figures
from myrtlespar.fleet_tests.script import Script
from myrtlespar.membership.member import Member
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.simulation.baseline import heartbeat_factory
from myrtlespar.simulation.fleet import SimulatedFleet
from myrtlespar.simulation.member_factory import membership_factory
from myrtlespar.simulation.script_player import ScriptPlayer

SETTLE_MS = 6000.0  # from the first start to the script's beginning
SETTLE_PER_MEMBER_MS = 12
START_MS = 400.0  # members start within this
START_PER_MEMBER_MS = 2
MAX_PAIRED_MEMBERS = 64  # members whose every pair is judged; in larger fleets so many observers are
OBSERVERS = 8
MAX_JOINING_MEMBERS = 300  # larger fleets begin joined


@dataclass(frozen=True, slots=True)
class Traffic:
    """What one node has sent, and sent and received."""

    sent_bytes: int = 0
    datagrams: int = 0


def play(
    script: Script, seed: int, settings: MembershipSettings | None = None, use_baseline: bool = False
) -> dict[str, Any]:
    """Figures as `fleet_tests.runner` gives them, with datagrams, bytes and speed of the simulation.

    `use_baseline` plays the heartbeat baseline. In fleets of more than 64 some observers are judged, no
    quorum status.
    """
    settings = settings or MembershipSettings()
    members = len(script.members)
    paired = members <= MAX_PAIRED_MEMBERS
    observers = list(script.members) if paired else unaffected_members(script, script.sites)
    joined = members > MAX_JOINING_MEMBERS and not use_baseline
    settle_ms = SETTLE_MS + (0 if joined else SETTLE_PER_MEMBER_MS * members)
    factory = heartbeat_factory() if use_baseline else membership_factory(settings)
    fleet = SimulatedFleet(script.sites, factory, seed, observers)
    started = time.monotonic()
    if joined:
        fleet.start_joined()
    else:
        fleet.start(START_MS + START_PER_MEMBER_MS * members)
    ScriptPlayer(fleet).schedule(script.steps, settle_ms)
    fleet.run(settle_ms)
    before = _traffic(fleet)
    end_ms = settle_ms + script.length_ms
    fleet.run(end_ms)
    seconds = time.monotonic() - started
    actions = fleet.actions if paired else _merge_starts(fleet.actions)
    truth = GroundTruth(list(script.members), actions, end_ms, settings.pause_ms())
    verdict = check_membership(truth, fleet.beliefs, settings, script.sites if paired else {}, observers)
    return {
        **_verdict_figures(verdict, settings, members),
        **_fleet_figures(fleet, before, script.length_ms / 1000),
        "events_per_s": round(fleet.event_loop.events / max(seconds, 1e-9)),
        "seconds": round(seconds, 2),
        "counts": dict(sorted(fleet.counters.items())),
    }


def unaffected_members(script: Script, sites: Mapping[str, Sequence[str]]) -> list[str]:
    """Some members of each site that the script does nothing to by name."""
    named = {name for step in script.steps for name in step.names if len(step.names) == 1}
    per_site = max(1, OBSERVERS // len(sites))
    return [name for names in sites.values() for name in [name for name in names if name not in named][:per_site]]


def _traffic(fleet: SimulatedFleet) -> dict[str, Traffic]:
    return {name: Traffic(node.sent_bytes, node.datagrams) for name, node in fleet.nodes.items()}


def _verdict_figures(verdict: InvariantReport, settings: MembershipSettings, members: int) -> dict[str, Any]:
    return {
        **figures(verdict, settings, members),
        "broken": verdict.broken,
        "judged": ["members"],
        "members": members,
    }


def _fleet_figures(fleet: SimulatedFleet, before: Mapping[str, Traffic], seconds: float) -> dict[str, Any]:
    """Traffic per member since `before`, the number of different views, and the events of the simulation."""
    none = Traffic()
    nodes = fleet.nodes.items()
    sent_bytes = sum(node.sent_bytes - before.get(name, none).sent_bytes for name, node in nodes)
    datagrams = sum(node.datagrams - before.get(name, none).datagrams for name, node in nodes)
    running = [node.member for _, node in nodes if node.up]
    return {
        "bytes_per_s": round(sent_bytes / len(fleet.nodes) / seconds, 1),
        "datagrams_per_s": round(datagrams / len(fleet.nodes) / seconds, 2),
        "hashes": len({member.view.hash for member in running if isinstance(member, Member)}),
        "events": fleet.event_loop.events,
    }


def _merge_starts(actions: list[FaultAction]) -> list[FaultAction]:
    """Move the first starts of a large fleet to one moment, so that its ground truth has few moments."""
    started: set[str] = set()
    merged = []
    for action in actions:
        if action.kind == "up" and action.name not in started:
            started.add(action.name)
            action = FaultAction(0.0, "up", action.name)
        merged.append(action)
    return merged
