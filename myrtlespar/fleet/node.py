"""The fleet parts of one process: peer transport, membership state machine and, if configured, fleet limits."""

from __future__ import annotations

import importlib.util
import time
from collections.abc import Callable, Sequence
from random import Random
from typing import TYPE_CHECKING

import structlog

from myrtlespar.config import Config, ConfigError
from myrtlespar.fleet import member_report
from myrtlespar.fleet.settings import FleetSettings, keys_requiring_restart, read_fleet
from myrtlespar.membership.member import Member
from myrtlespar.membership.messages import CountEvent, MemberChanged, MemberState, QuorumChanged
from myrtlespar.membership.quorum import QuorumStatus, VoterSet, voter_set_change_error
from myrtlespar.net.peer_transport import PeerAddressInUseError, PeerTransport, monotonic_ms
from myrtlespar.runtime.counters import Counters

if TYPE_CHECKING:
    from myrtlespar.fleet.limits_driver import LimitsDriver

log = structlog.get_logger()


class FleetNode:
    """The fleet parts of this process, which exist if MYRTLESPAR_FLEET is set.

    `open_fleet` opens the sockets. `_join` starts membership and limits later, once this process owns the peer address
    and no old process of the same name still uses it.
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

        `path` is the fleet file, which `reload` reads again; `key_of` returns the idempotency key of a request id.
        ConfigError names the key of a setting that this process can't support.
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
            raise ConfigError("engine: the libraries in requirements-engine.txt are not installed")
        if settings.limits or settings.repeats is not None:  # imported only if one of them is set
            from myrtlespar.fleet.limits_driver import LimitsDriver

            self.limits = LimitsDriver(settings, classes, self.peers, counters, seed, key_of, self.reload)
        for scope in self.voter_set.even_scopes():
            log.warning("fleet: an even split of the voters would leave no majority", scope=scope or "fleet")

    def leave(self) -> None:
        """Start leaving the fleet: stop using limits and notify the other members. Returns immediately."""
        if self.limits is not None:
            self.limits.retire()
        self.peers.leave()

    def close(self) -> None:
        """Close the sockets; call it after `leave`, once all requests have ended."""
        self.peers.close()

    def reload(self) -> None:
        """Read the fleet file again.

        New amounts of limits and a new voter set are adopted together or not at all, as one without the other would be
        a configuration that no file contains. A rejection is logged as one error. If only the limits are rejected, as
        the current version is not settled, the file is read again once it is. Other changed keys require a restart, and
        a warning names them.
        """
        try:
            new_settings = read_fleet(self.path, self.settings.name)
        except ConfigError as error:
            log.error("fleet reload refused", error=str(error))
            return
        rejection = self._voter_set_change_error(new_settings.voter_set)
        if not rejection and self.limits is not None:
            rejection = self.limits.change_error(new_settings)
        if rejection:
            log.error("fleet reload refused", error=rejection)
            return
        keys = keys_requiring_restart(self.settings, new_settings)
        if keys:
            log.warning("fleet: changes with a restart", keys=keys)
        if self.limits is not None:
            self.limits.adopt(new_settings)
        self._adopt_voter_set(new_settings.voter_set)

    def members(self) -> bytes:
        """Return the answer to MEMBERS: one line of JSON."""
        member = self.peers.member
        if member is None:
            return member_report.waiting_line(self.settings)
        return member_report.members_line(self.settings, member, self.peers, self.counters, monotonic_ms())

    def metrics(self) -> list[str]:
        """Return the metrics of membership and limits as lines of Prometheus text."""
        member = self.peers.member
        if member is None:
            return []
        lines = member_report.metrics_lines(member, self.peers, self.counters, monotonic_ms())
        if self.limits is not None:
            lines += self.limits.metrics()
        return lines

    def _join(self, now: float) -> Member:
        """Create the membership state machine and start the limits, as this process now owns the peer address."""
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
        """Log a change of the view or of the quorum status, and pass the members present to the limits."""
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

    def _voter_set_change_error(self, new_voter_set: VoterSet) -> str:
        """Return why a voter set can't be adopted, beginning with the key; empty if it can or is the current one."""
        rejection = "" if new_voter_set == self.voter_set else voter_set_change_error(self.voter_set, new_voter_set)
        if not rejection:
            return ""
        self.counters.add("fleet.roll_refused")
        return f"electorate.{rejection}"

    def _adopt_voter_set(self, new_voter_set: VoterSet) -> None:
        if new_voter_set == self.voter_set:
            return
        self.voter_set = new_voter_set
        if self.peers.member is not None:
            for effect in self.peers.member.adopt_voter_set(new_voter_set, monotonic_ms()):
                self._report_change(effect)  # type: ignore[arg-type]
        log.info("fleet: roll taken over", roll=new_voter_set.version)


def _state_name(state: int | None) -> str | None:
    return None if state is None else MemberState(state).name.lower()


def open_fleet(config: Config, counters: Counters, key_of: Callable[[str], str]) -> FleetNode:
    """Read the fleet file and bind the peer address, before any client is served. ConfigError names the faulty key."""
    settings = read_fleet(config.fleet, config.name)
    node = FleetNode(settings, config.fleet, counters, config.seed, config.class_names, key_of)
    try:
        node.peers.open()
    except PeerAddressInUseError:
        raise ConfigError(f"bind: {settings.bind} is in use by another program") from None
    except OSError as error:
        raise ConfigError(f"bind: cannot listen on {settings.bind}: {error.strerror}") from None
    return node
