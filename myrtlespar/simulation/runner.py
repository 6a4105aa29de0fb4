"""Plays a fault script in the simulation and checks the same invariants as for real processes."""

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

SETTLE_MS = 6000.0  # from the start of the simulation to time 0 of the script
SETTLE_PER_MEMBER_MS = 12
START_SPREAD_MS = 400.0  # the members start at random times within this period
START_SPREAD_PER_MEMBER_MS = 2
MAX_MEMBERS_ALL_PAIRS = 64  # in larger fleets only the observations of a few members are checked
MAX_OBSERVERS = 8  # limit over all sites together, but each site has at least one observer
MAX_JOINING_MEMBERS = 300  # larger fleets start with complete views


@dataclass(frozen=True, slots=True)
class Traffic:
    """The bytes that a member has sent, and the datagrams that it has sent and received."""

    sent_bytes: int = 0
    datagrams: int = 0


def play(
    script: Script, seed: int, settings: MembershipSettings | None = None, use_baseline: bool = False
) -> dict[str, Any]:
    """Play a fault script and check the invariants of membership.

    In fleets of more than MAX_MEMBERS_ALL_PAIRS members, only the observations of some members are checked, and of the
    quorum statuses only that of the whole fleet.

    Args:
        script: The script to play.
        seed: The seed of all random choices.
        settings: The settings of membership; the defaults if None.
        use_baseline: Whether the members are those of the heartbeat baseline.

    Returns:
        The figures that `fleet_tests.runner.play` returns for membership, and the traffic and speed of the simulation.
    """
    settings = settings or MembershipSettings()
    members = len(script.members)
    checks_all_pairs = members <= MAX_MEMBERS_ALL_PAIRS
    observers = list(script.members) if checks_all_pairs else unaffected_members(script, script.sites)
    starts_joined = members > MAX_JOINING_MEMBERS and not use_baseline
    settle_ms = SETTLE_MS + (0 if starts_joined else SETTLE_PER_MEMBER_MS * members)
    factory = heartbeat_factory() if use_baseline else membership_factory(settings)
    fleet = SimulatedFleet(script.sites, factory, seed, observers)
    started = time.monotonic()
    if starts_joined:
        fleet.start_joined()
    else:
        fleet.start(START_SPREAD_MS + START_SPREAD_PER_MEMBER_MS * members)
    ScriptPlayer(fleet).schedule(script.steps, settle_ms)
    fleet.run(settle_ms)
    before = _traffic(fleet)
    end_ms = settle_ms + script.length_ms
    fleet.run(end_ms)
    seconds = time.monotonic() - started
    actions = fleet.actions if checks_all_pairs else _merge_starts(fleet.actions)
    truth = GroundTruth(list(script.members), actions, end_ms, settings.pause_ms())
    report = check_membership(truth, fleet.observations, settings, script.sites if checks_all_pairs else {}, observers)
    return {
        **_report_figures(report, settings, members),
        **_fleet_figures(fleet, before, script.length_ms / 1000),
        "events_per_s": round(fleet.event_loop.event_count / max(seconds, 1e-9)),
        "seconds": round(seconds, 2),
        "counts": dict(sorted(fleet.counters.items())),
    }


def unaffected_members(script: Script, sites: Mapping[str, Sequence[str]]) -> list[str]:
    """Return some members of each site, without those that are the only member in a step of the script."""
    named = {name for step in script.steps for name in step.names if len(step.names) == 1}
    per_site = max(1, MAX_OBSERVERS // len(sites))
    return [name for names in sites.values() for name in [name for name in names if name not in named][:per_site]]


def _traffic(fleet: SimulatedFleet) -> dict[str, Traffic]:
    return {name: Traffic(node.sent_bytes, node.datagram_count) for name, node in fleet.nodes.items()}


def _report_figures(report: InvariantReport, settings: MembershipSettings, members: int) -> dict[str, Any]:
    return {
        **figures(report, settings, members),
        "broken": report.broken,
        "judged": ["members"],
        "members": members,
    }


def _fleet_figures(fleet: SimulatedFleet, before: Mapping[str, Traffic], seconds: float) -> dict[str, Any]:
    """Return the traffic per member since `before`, the number of different views, and the number of events."""
    no_traffic = Traffic()
    nodes = fleet.nodes.items()
    sent_bytes = sum(node.sent_bytes - before.get(name, no_traffic).sent_bytes for name, node in nodes)
    datagrams = sum(node.datagram_count - before.get(name, no_traffic).datagrams for name, node in nodes)
    running = [node.member for _, node in nodes if node.running]
    return {
        "bytes_per_s": round(sent_bytes / len(fleet.nodes) / seconds, 1),
        "datagrams_per_s": round(datagrams / len(fleet.nodes) / seconds, 2),
        "hashes": len({member.view.hash for member in running if isinstance(member, Member)}),
        "events": fleet.event_loop.event_count,
    }


def _merge_starts(actions: list[FaultAction]) -> list[FaultAction]:
    """Move each member's first start to time 0, so that the ground truth of a large fleet has fewer intervals."""
    started: set[str] = set()
    merged = []
    for action in actions:
        if action.kind == "up" and action.name not in started:
            started.add(action.name)
            action = FaultAction(0.0, "up", action.name)
        merged.append(action)
    return merged
