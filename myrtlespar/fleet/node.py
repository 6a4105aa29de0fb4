"""One process's fleet parts: the peer link, the membership machine, what operators see of them."""

from __future__ import annotations

import importlib.util
import json
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING, Any

import structlog

from myrtlespar.config import Config, ConfigError
from myrtlespar.fleet.settings import FleetSettings, read_fleet
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import CountEvent, MemberChanged, MemberState, QuorumChanged
from myrtlespar.membership.quorum import QuorumStatus, voter_set_change_error
from myrtlespar.membership.reachability import broken_links
from myrtlespar.net.peer_transport import PeerAddressInUseError, PeerTransport, monotonic_ms
from myrtlespar.runtime.counters import Counters

if TYPE_CHECKING:
    from myrtlespar.fleet.limits_driver import LimitsDriver

log = structlog.get_logger()


class FleetNode:
    """What `serve` holds when the fleet is on."""

    def __init__(
        self,
        settings: FleetSettings,
        path: str,
        counters: Counters,
        seed: int,
        classes: Sequence[str] = (),
        key_of: Callable[[str], str] = lambda id: "",
    ) -> None:
        self.settings, self.path, self.counters, self.seed = settings, path, counters, seed
        self.voter_set_version = settings.roll
        self.peers = PeerTransport(
            settings.bind, settings.fleet, settings.name, settings.datagrams_per_s, counters, self._make, self._changed
        )
        self.limits: LimitsDriver | None = None
        if settings.engine is not None and importlib.util.find_spec("grpc") is None:
            raise ConfigError("engine: needs the libraries of requirements-engine.txt")
        if settings.limits or settings.repeats is not None:  # loaded only where some are set
            from myrtlespar.fleet.limits_driver import LimitsDriver

            self.limits = LimitsDriver(settings, classes, self.peers, counters, seed, key_of)
        for scope in self.voter_set_version.even_scopes():
            log.warning("fleet: an even split leaves no majority", scope=scope or "fleet")

    def _make(self, now: float) -> Member:
        own = self.settings
        boot = int(time.time() * 1000) + own.wall_shift_ms
        log.info(
            "fleet: joining",
            name=own.name,
            site=own.site,
            boot=boot,
            roll=self.voter_set_version.version,
            at=time.time() * 1000,
        )
        member = Member(
            own.name,
            own.site,
            own.advertise,
            boot,
            own.fleet,
            own.membership,
            self.voter_set_version,
            own.seeds,
            Random(self.seed),
            now,
        )
        for scope, count in member.quorum.scopes.items():
            self._changed(QuorumChanged(scope, count.status, count.status))
        if self.limits is not None:
            self.limits.start(boot)
        return member

    def _changed(self, effect: MemberChanged | QuorumChanged | CountEvent) -> None:
        """Every change of the view and of one's standing is a line of the log."""
        if isinstance(effect, MemberChanged):
            log.info(
                "fleet member",
                member=effect.name,
                old=_state(effect.old_state),
                new=_state(effect.new_state),
                life=[effect.incarnation, effect.refutation],
                by=effect.accuser,
                at=time.time() * 1000,
            )
            if self.limits is not None and self.peers.member is not None:
                self.limits.here(frozenset(self.peers.member.view.present))
        elif isinstance(effect, QuorumChanged):
            log.info(
                "fleet standing",
                scope=effect.scope,
                old=QuorumStatus(effect.old_status).name.lower(),
                new=QuorumStatus(effect.new_status).name.lower(),
                at=time.time() * 1000,
            )
        elif effect.log_message and self.counters.count_and_sample(f"fleet.log.{effect.counter}"):
            log.warning("fleet: " + effect.log_message)

    def leave(self) -> None:
        """The process was told to end."""
        if self.limits is not None:
            self.limits.retire()
        self.peers.leave()

    def close(self) -> None:
        """The process ends."""
        self.peers.close()

    def reload(self) -> None:
        """Take a new roll over, if it is one step from the old one, and new numbers of limits; all else needs a
        restart. A fault changes nothing.
        """
        try:
            read = read_fleet(self.path, self.settings.name)
        except ConfigError as error:
            log.error("fleet reload refused", error=str(error))
            return
        if self.limits is not None:
            fault = self.limits.adopt(read)
            if fault:
                log.error("fleet reload refused", error=fault)
                return
        fresh = read.roll
        if fresh == self.voter_set_version:
            return
        fault = voter_set_change_error(self.voter_set_version, fresh)
        if fault:
            self.counters.add("fleet.roll_refused")
            log.error("fleet reload refused", error=f"electorate.{fault}")
            return
        self.voter_set_version = fresh
        if self.peers.member is not None:
            for effect in self.peers.member.adopt_voter_set(fresh, monotonic_ms()):
                self._changed(effect)  # type: ignore[arg-type]
        log.info("fleet: roll taken over", roll=fresh.version)

    # What operators see.

    def members(self) -> bytes:
        """The answer to MEMBERS: one JSON line, ages in milliseconds."""
        member, now = self.peers.member, monotonic_ms()
        own = self.settings
        if member is None:
            return json.dumps({"name": own.name, "site": own.site, "waiting": True}).encode() + b"\n"
        rows: list[dict[str, Any]] = [
            {
                "name": name,
                "site": entry.update.site,
                "address": entry.update.address,
                "state": MemberState(entry.update.state).name.lower(),
                "life": [entry.update.incarnation, entry.update.refutation],
                "for_ms": round(now - entry.since),
                "evidence_ms": round(now - entry.evidence),
                "heard_ms": round(now - entry.heard) if entry.heard > 0 else None,
                "proven_ms": round(now - entry.answered) if entry.answered > 0 else None,
            }
            for name, entry in sorted(member.view.entries.items())
        ]
        return (
            json.dumps(
                {
                    "name": own.name,
                    "site": own.site,
                    "fleet": own.fleet,
                    "address": own.advertise,
                    "life": [member.self_update.incarnation, member.self_update.refutation],
                    "hash": f"{member.view.hash:016x}",
                    "roll": member.quorum.voter_set.version,
                    "health": member.prober.health,
                    "late_ms": round(self.peers.latest_late, 1),
                    "standing": {
                        scope or "fleet": {
                            "is": count.status.name.lower(),
                            "for_ms": round(now - count.since),
                            "here": len(count.others_present) + count.self_votes,
                            "of": len(count.voters),
                        }
                        for scope, count in member.quorum.scopes.items()
                    },
                    "members": rows,
                    "links": broken_links(member.reachability.rows),
                    "unheard": member.reachability.one_way(member.view, now),
                    "differ": sorted(member.divergence.since),
                    "disagree": sorted(member.divergence.lasting),
                    "rtt_ms": {site: round(mean, 2) for site, (mean, _) in member.prober.round_trips.items()},
                    "bytes": {"sent": self.peers.sent_bytes, "read": self.peers.read_bytes},
                    "counts": {
                        name: count
                        for name, count in self.counters.report().items()
                        if name.startswith(("fleet.", "peers."))
                    },
                }
            ).encode()
            + b"\n"
        )

    def metrics(self) -> list[str]:
        """Lines of Prometheus text for METRICS."""
        member, now = self.peers.member, monotonic_ms()
        if member is None:
            return []
        counts = {state: 0 for state in MemberState}
        for entry in member.view.entries.values():
            counts[MemberState(entry.update.state)] += 1
        counts[MemberState.ALIVE] += 1
        oldest = max((now - entry.evidence for entry in member.view.entries.values() if entry.present), default=0.0)
        report = self.counters.report()
        out = ["# TYPE fleet_members gauge"]
        out += [f'fleet_members{{state="{state.name.lower()}"}} {count}' for state, count in counts.items()]
        out.append("# TYPE fleet_standing gauge")
        out += [
            f'fleet_standing{{scope="{scope or "fleet"}"}} {int(count.status)}'
            for scope, count in member.quorum.scopes.items()
        ]
        gauges = {
            "oldest_evidence_seconds": oldest / 1000,
            "local_health": member.prober.health,
            "broken_links": len(broken_links(member.reachability.rows)),
            "disagreements": len(member.divergence.lasting),
            "roll_version": member.quorum.voter_set.version,
            "majority": int(member.quorum.fleet.status >= QuorumStatus.MAJORITY),
        }
        for name, value in gauges.items():
            out += [f"# TYPE fleet_{name} gauge", f"fleet_{name} {value:g}"]
        out.append("# TYPE fleet_probe_round_trip_seconds gauge")
        out += [
            f'fleet_probe_round_trip_seconds{{site="{site}"}} {mean / 1000:.6f}'
            for site, (mean, _) in sorted(member.prober.round_trips.items())
        ]
        totals = {
            "suspicions_refuted": report.get("fleet.refuted", 0),
            "accused": report.get("fleet.accused", 0),
            "late_turns": report.get("fleet.late", 0),
            "sent_bytes": self.peers.sent_bytes,
            "read_bytes": self.peers.read_bytes,
            "spoilt": sum(count for name, count in report.items() if name.startswith("peers.spoilt")),
        }
        for name, total in totals.items():
            out += [f"# TYPE fleet_{name}_total counter", f"fleet_{name}_total {total}"]
        return out + (self.limits.metrics() if self.limits is not None else [])


def _state(state: int | None) -> str | None:
    return None if state is None else MemberState(state).name.lower()


def open_fleet(config: Config, counters: Counters, key_of: Callable[[str], str]) -> FleetNode:
    """Read the file and take the address, before any client is taken. ConfigError names the faulty key."""
    settings = read_fleet(config.fleet, config.name)
    fleet = FleetNode(settings, config.fleet, counters, config.seed, config.class_names, key_of)
    try:
        fleet.peers.open()
    except PeerAddressInUseError:
        raise ConfigError(f"bind: {settings.bind} is in use by another program") from None
    except OSError as error:
        raise ConfigError(f"bind: cannot listen on {settings.bind}: {error.strerror}") from None
    return fleet
