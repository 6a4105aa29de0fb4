"""Reports about membership in one process: the answer to the MEMBERS command, and lines for METRICS.

The JSON keys and metric names are a public interface and differ from the names in the code: `life` is the incarnation
and its refutation counter, `roll` the version of the voter set, and `standing` the quorum status.
"""

from __future__ import annotations

import json
from typing import Any

from myrtlespar.fleet.settings import FleetSettings
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import MemberState
from myrtlespar.membership.quorum import QuorumStatus
from myrtlespar.membership.reachability import broken_links
from myrtlespar.net.peer_transport import PeerTransport
from myrtlespar.runtime.counters import Counters


def waiting_line(settings: FleetSettings) -> bytes:
    """Return the answer to MEMBERS while an old process of the same name still owns the peer address."""
    return json.dumps({"name": settings.name, "site": settings.site, "waiting": True}).encode() + b"\n"


def members_line(
    settings: FleetSettings, member: Member, peers: PeerTransport, counters: Counters, now: float
) -> bytes:
    """Return the answer to MEMBERS: one line of JSON with ages in ms."""
    report = {
        "name": settings.name,
        "site": settings.site,
        "fleet": settings.fleet,
        "address": settings.advertise,
        "life": [member.self_update.incarnation, member.self_update.refutation],
        "hash": f"{member.view.hash:016x}",
        "roll": member.quorum.voter_set.version,
        "health": member.prober.health,
        "late_ms": round(peers.tick_delay_ms, 1),
        "standing": _quorum_rows(member, now),
        "members": _member_rows(member, now),
        "links": broken_links(member.reachability.rows),
        "unheard": member.reachability.one_way(member.view, now),
        "differ": sorted(member.divergence.since),
        "disagree": sorted(member.divergence.lasting),
        "rtt_ms": {site: round(mean, 2) for site, (mean, _) in member.prober.round_trips.items()},
        "bytes": {"sent": peers.traffic.sent_bytes, "read": peers.traffic.read_bytes},
        "counts": {name: count for name, count in counters.report().items() if name.startswith(("fleet.", "peers."))},
    }
    return json.dumps(report).encode() + b"\n"


def metrics_lines(member: Member, peers: PeerTransport, counters: Counters, now: float) -> list[str]:
    """Return the membership metrics as lines of Prometheus text."""
    counts = {state: 0 for state in MemberState}
    for entry in member.view.entries.values():
        counts[MemberState(entry.update.state)] += 1
    counts[MemberState.ALIVE] += 1  # this member itself is not in its view
    lines = ["# TYPE fleet_members gauge"]
    lines += [f'fleet_members{{state="{state.name.lower()}"}} {count}' for state, count in counts.items()]
    lines.append("# TYPE fleet_standing gauge")
    lines += [
        f'fleet_standing{{scope="{scope or "fleet"}"}} {int(votes.status)}'
        for scope, votes in member.quorum.scopes.items()
    ]
    for name, value in _gauges(member, now).items():
        lines += [f"# TYPE fleet_{name} gauge", f"fleet_{name} {value:g}"]
    lines.append("# TYPE fleet_probe_round_trip_seconds gauge")
    lines += [
        f'fleet_probe_round_trip_seconds{{site="{site}"}} {mean / 1000:.6f}'
        for site, (mean, _) in sorted(member.prober.round_trips.items())
    ]
    for name, total in _totals(peers, counters).items():
        lines += [f"# TYPE fleet_{name}_total counter", f"fleet_{name}_total {total}"]
    return lines


def _quorum_rows(member: Member, now: float) -> dict[str, dict[str, Any]]:
    return {
        scope or "fleet": {
            "is": votes.status.name.lower(),
            "for_ms": round(now - votes.since),
            "here": len(votes.others_present) + votes.self_votes,
            "of": len(votes.voters),
        }
        for scope, votes in member.quorum.scopes.items()
    }


def _member_rows(member: Member, now: float) -> list[dict[str, Any]]:
    return [
        {
            "name": name,
            "site": entry.update.site,
            "address": entry.update.address,
            "state": MemberState(entry.update.state).name.lower(),
            "life": [entry.update.incarnation, entry.update.refutation],
            "for_ms": round(now - entry.since),
            "evidence_ms": round(now - entry.evidence_at),
            "heard_ms": round(now - entry.last_packet_at) if entry.last_packet_at > 0 else None,
            "proven_ms": round(now - entry.last_answered_at) if entry.last_answered_at > 0 else None,
        }
        for name, entry in sorted(member.view.entries.items())
    ]


def _gauges(member: Member, now: float) -> dict[str, float]:
    evidence_ages = (now - entry.evidence_at for entry in member.view.entries.values() if entry.present)
    return {
        "oldest_evidence_seconds": max(evidence_ages, default=0.0) / 1000,
        "local_health": member.prober.health,
        "broken_links": len(broken_links(member.reachability.rows)),
        "disagreements": len(member.divergence.lasting),
        "roll_version": member.quorum.voter_set.version,
        "majority": int(member.quorum.fleet.status >= QuorumStatus.MAJORITY),
    }


def _totals(peers: PeerTransport, counters: Counters) -> dict[str, int]:
    report = counters.report()
    return {
        "suspicions_refuted": report.get("fleet.refuted", 0),
        "accused": report.get("fleet.accused", 0),
        "late_turns": report.get("fleet.late", 0),
        "sent_bytes": peers.traffic.sent_bytes,
        "read_bytes": peers.traffic.read_bytes,
        "spoilt": sum(count for name, count in report.items() if name.startswith("peers.spoilt")),
    }
