"""One process's fleet parts: the peer transport, the membership machine and, where some are set, the fleet's limits."""

from __future__ import annotations

import importlib.util
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING

import structlog

from myrtlespar.config import Config, ConfigError
from myrtlespar.fleet import member_report
from myrtlespar.fleet.settings import FleetSettings, keys_for_a_restart, read_fleet
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import CountEvent, MemberChanged, MemberState, QuorumChanged
from myrtlespar.membership.quorum import QuorumStatus, VoterSet, voter_set_change_error
from myrtlespar.net.peer_transport import PeerAddressInUseError, PeerTransport, monotonic_ms
from myrtlespar.runtime.counters import Counters

if TYPE_CHECKING:
    from myrtlespar.fleet.limits_driver import LimitsDriver

log = structlog.get_logger()


class FleetNode:
    """The fleet's parts in this process: the server has one if MYRTLESPAR_FLEET is set.

    The sockets are opened by `open_fleet`. Membership and limits start later, by `_join`, once the peer address is this
    process's own and no longer that of an old process of the same name.
    """

    def __init__(
        self,
        settings: FleetSettings,
        path: str,
        counters: Counters,
        seed: int,
        classes: Sequence[str] = (),
        key_of: Callable[[str], str] = lambda request_id: "",
    ) -> None:
        """Create the parts without opening sockets.

        `path` is the fleet's file, read again by `reload`; `key_of` returns the idempotency key of a request's id.
        ConfigError names a key that this process can't comply with.
        """
        self.settings = settings
        self.path = path
        self.counters = counters
        self.seed = seed
        self.voter_set = settings.voter_set
        self.peers = PeerTransport(
            settings.bind,
            settings.fleet,
            settings.name,
            settings.datagrams_per_s,
            counters,
            self._join,
            self._report_change,
        )
        self.limits: LimitsDriver | None = None
        if settings.engine is not None and importlib.util.find_spec("grpc") is None:
            raise ConfigError("engine: needs the libraries of requirements-engine.txt")
        if settings.limits or settings.repeats is not None:  # loaded only where some are set
            from myrtlespar.fleet.limits_driver import LimitsDriver

            self.limits = LimitsDriver(settings, classes, self.peers, counters, seed, key_of, self.reload)
        for scope in self.voter_set.even_scopes():
            log.warning("fleet: an even split leaves no majority", scope=scope or "fleet")

    def leave(self) -> None:
        """Begin the graceful shutdown: use no limits any more and notify the members. Returns at once."""
        if self.limits is not None:
            self.limits.retire()
        self.peers.leave()

    def close(self) -> None:
        """Close the sockets; call it last, after `leave` and the end of all requests."""
        self.peers.close()

    def reload(self) -> None:
        """Read the fleet's file again.

        New numbers of limits and a new voter set are adopted together, or neither of them: a member with the one and
        without the other would count by a file that nobody wrote. The fault is logged as one error. If limits only come
        too early, the file is read again once they can be adopted. All else needs a restart, and is named in the log.
        """
        try:
            fresh = read_fleet(self.path, self.settings.name)
        except ConfigError as error:
            log.error("fleet reload refused", error=str(error))
            return
        fault = self._voter_set_fault(fresh.voter_set)
        if not fault and self.limits is not None:
            fault = self.limits.change_fault(fresh)
        if fault:
            log.error("fleet reload refused", error=fault)
            return
        keys = keys_for_a_restart(self.settings, fresh)
        if keys:
            log.warning("fleet: changes with a restart", keys=keys)
        if self.limits is not None:
            self.limits.adopt(fresh)
        self._adopt_voter_set(fresh.voter_set)

    def members(self) -> bytes:
        """Return the answer to MEMBERS: one JSON line."""
        member = self.peers.member
        if member is None:
            return member_report.waiting_line(self.settings)
        return member_report.members_line(self.settings, member, self.peers, self.counters, monotonic_ms())

    def metrics(self) -> list[str]:
        """Return lines of Prometheus text for METRICS."""
        member = self.peers.member
        if member is None:
            return []
        lines = member_report.metrics_lines(member, self.peers, self.counters, monotonic_ms())
        if self.limits is not None:
            lines += self.limits.metrics()
        return lines

    def _join(self, now: float) -> Member:
        """Create the membership state machine and start the limits, as the peer address is this process's own now."""
        settings = self.settings
        incarnation = int(time.time() * 1000) + settings.wall_shift_ms
        log.info(
            "fleet: joining",
            name=settings.name,
            site=settings.site,
            boot=incarnation,
            roll=self.voter_set.version,
            at=time.time() * 1000,
        )
        member = Member(
            settings.name,
            settings.site,
            settings.advertise,
            incarnation,
            settings.fleet,
            settings.membership,
            self.voter_set,
            settings.seeds,
            Random(self.seed),
            now,
        )
        for scope, votes in member.quorum.scopes.items():
            self._report_change(QuorumChanged(scope, votes.status, votes.status))
        if self.limits is not None:
            self.limits.start(incarnation)
        return member

    def _report_change(self, effect: MemberChanged | QuorumChanged | CountEvent) -> None:
        """Log each change of the view and of the quorum status, and pass the present members to the limits."""
        if isinstance(effect, MemberChanged):
            log.info(
                "fleet member",
                member=effect.name,
                old=_state_name(effect.old_state),
                new=_state_name(effect.new_state),
                life=[effect.incarnation, effect.refutation],
                by=effect.accuser,
                at=time.time() * 1000,
            )
            if self.limits is not None and self.peers.member is not None:
                self.limits.set_present_members(frozenset(self.peers.member.view.present))
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

    def _voter_set_fault(self, fresh: VoterSet) -> str:
        """Return why a voter set can't be adopted, beginning with the key; empty if it can or is the present one."""
        fault = "" if fresh == self.voter_set else voter_set_change_error(self.voter_set, fresh)
        if not fault:
            return ""
        self.counters.add("fleet.roll_refused")
        return f"electorate.{fault}"

    def _adopt_voter_set(self, fresh: VoterSet) -> None:
        if fresh == self.voter_set:
            return
        self.voter_set = fresh
        if self.peers.member is not None:
            for effect in self.peers.member.adopt_voter_set(fresh, monotonic_ms()):
                self._report_change(effect)  # type: ignore[arg-type]
        log.info("fleet: roll taken over", roll=fresh.version)


def _state_name(state: int | None) -> str | None:
    return None if state is None else MemberState(state).name.lower()


def open_fleet(config: Config, counters: Counters, key_of: Callable[[str], str]) -> FleetNode:
    """Read the fleet's file and take the peer address, before any client is served. ConfigError names the key."""
    settings = read_fleet(config.fleet, config.name)
    node = FleetNode(settings, config.fleet, counters, config.seed, config.class_names, key_of)
    try:
        node.peers.open()
    except PeerAddressInUseError:
        raise ConfigError(f"bind: {settings.bind} is in use by another program") from None
    except OSError as error:
        raise ConfigError(f"bind: cannot listen on {settings.bind}: {error.strerror}") from None
    return node
