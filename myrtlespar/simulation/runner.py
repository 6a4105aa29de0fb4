"""Plays a fault script in the emulator and judges it with the judge of real processes."""

from __future__ import annotations

import time
from collections.abc import Mapping, Sequence
from typing import Any

from myrtlespar.fleet_tests.ground_truth import FaultAction, GroundTruth
from myrtlespar.fleet_tests.invariants import check_membership
from myrtlespar.fleet_tests.runner import figures
from myrtlespar.fleet_tests.script import Script
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.simulation.baseline import baseline
from myrtlespar.simulation.fleet import SimulatedFleet, real

SETTLE_MS = 6000.0  # from the first start to the script's beginning
PAIRED_MOST = 64  # members whose every pair is judged; in larger fleets so many observers are
OBSERVERS = 8
JOINED_FROM = 300  # members; larger fleets begin joined


def play(script: Script, seed: int, terms: MembershipSettings | None = None, plain: bool = False) -> dict[str, Any]:
    """Figures as `standins.fleet.play` gives them, and what the emulator alone knows: datagrams, bytes, speed.

    `plain` plays the baseline. In fleets of more than 64 some observers are judged, and no standings.
    """
    terms, sites, names = terms or MembershipSettings(), script.sites, list(script.members)
    observers = names if len(names) <= PAIRED_MOST else watchers(script, sites)
    joined = len(names) > JOINED_FROM and not plain
    settle = SETTLE_MS + (0 if joined else 12 * len(names))
    fleet = SimulatedFleet(sites, baseline() if plain else real(terms), seed, observers)
    began = time.monotonic()
    if joined:
        fleet.begin_joined()
    else:
        fleet.begin(400.0 + 2 * len(names))
    fleet.play(script.steps, settle)
    fleet.run(settle)
    before = {name: (node.sent_bytes, node.datagrams) for name, node in fleet.nodes.items()}
    fleet.run(settle + script.length_ms)
    took, seconds = time.monotonic() - began, script.length_ms / 1000
    deeds = fleet.deeds if len(names) <= PAIRED_MOST else _few(fleet.deeds)
    truth = GroundTruth(names, deeds, settle + script.length_ms, terms.pause_ms())
    verdict = check_membership(truth, fleet.beliefs, terms, sites if len(names) <= PAIRED_MOST else {}, observers)
    moved = [
        (node.sent_bytes - before.get(name, (0, 0))[0], node.datagrams - before.get(name, (0, 0))[1])
        for name, node in fleet.nodes.items()
    ]
    return {
        **figures(verdict, terms, len(names)),
        "broken": verdict.broken,
        "judged": ["members"],
        "members": len(names),
        "bytes_per_s": round(sum(row[0] for row in moved) / len(moved) / seconds, 1),
        "datagrams_per_s": round(sum(row[1] for row in moved) / len(moved) / seconds, 2),
        "hashes": len(
            {
                view.hash
                for node in fleet.nodes.values()
                if node.up and (view := getattr(node.machine, "view", None)) is not None
            }
        ),
        "events": fleet.engine.events,
        "events_per_s": round(fleet.engine.events / max(took, 1e-9)),
        "seconds": round(took, 2),
        "counts": dict(sorted(fleet.notes.items())),
    }


def watchers(script: Script, sites: Mapping[str, Sequence[str]]) -> list[str]:
    """Some members of each site that the script does nothing to by name."""
    named = {name for step in script.steps for name in step.names if len(step.names) == 1}
    each = max(1, OBSERVERS // len(sites))
    return [name for row in sites.values() for name in [n for n in row if n not in named][:each]]


def _few(deeds: list[FaultAction]) -> list[FaultAction]:
    """The starts of a large fleet as one moment, so that its truth has few."""
    first: dict[str, bool] = {}
    out = []
    for deed in deeds:
        if deed.kind == "up" and deed.name not in first:
            first[deed.name] = True
            deed = FaultAction(0.0, "up", deed.name)
        out.append(deed)
    return out
