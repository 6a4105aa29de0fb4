"""The fleet's limits in one process: drives the agent over the peer link, and is the policy's port."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
import structlog
from gevent.event import Event
from msgspec.structs import replace

from myrtlespar.config import ConfigError
from myrtlespar.fleet.settings import FleetSettings, limits_fault
from myrtlespar.net import budget_file as vaultfile
from myrtlespar.net.codec.limits import MAGIC, LimitDatagram, decode, encode
from myrtlespar.net.codec.peer import DATAGRAM_MOST, MalformedPeerMessageError, UnsupportedPeerVersionError
from myrtlespar.net.peer_transport import PeerTransport
from myrtlespar.net.peer_transport import monotonic_ms as true_ms
from myrtlespar.quota.admission_check import ADMITTED, AdmissionCheck
from myrtlespar.quota.admission_queue import AdmissionQueue
from myrtlespar.quota.budget import BudgetPeriod
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.messages import LimitEffect, PersistThenSend, SendMessage
from myrtlespar.quota.retry_budget import RetryBudget
from myrtlespar.quota.settings import CountedUnit, CountedWork, Limit, caller_prefix
from myrtlespar.quota.shards import shard_of
from myrtlespar.runtime.counters import Counters

if TYPE_CHECKING:
    from myrtlespar.fleet.lease_source import LeaseSource

log = structlog.get_logger()
HELD_MOST = 8  # of one caller: its connections carry so many unanswered, and it has other work on them


class LimitsDriver:
    """Made once the address is ours; until then, and as long as nothing is known, only what needs nobody is let in."""

    def __init__(
        self,
        settings: FleetSettings,
        classes: Sequence[str],
        peers: PeerTransport,
        counters: Counters,
        seed: int,
        key_of: Callable[[str], str] = lambda id: "",
    ) -> None:
        """`key_of` tells a request's idempotency key."""
        self.settings, self.peers, self.counters, self.random = settings, peers, counters, Random(seed)
        self.rate = settings.clock_rate
        self.coordinator: LimitCoordinator | None = None
        self.refused: dict[str, int] = {}
        self.admitted: dict[str, int] = {}
        rows = settings.limits.items()
        self._applying, self._calling = (
            [
                [(name, limit) for name, limit in rows if limit.cls in ("", cls) and limit.counts is what]
                for cls in classes
            ]
            for what in CountedWork
        )
        self._key_of: Callable[[str], str] = key_of
        self.retry_budget = RetryBudget(settings.repeats) if settings.repeats is not None else None
        self._keeps: list[PersistThenSend] = []
        self._keeps_due = Event()
        self._file: Path | None = None
        self._vault: dict[BudgetPeriod, int] = {}
        if any(limit.counted_unit is CountedUnit.BUDGET for limit in settings.limits.values()):
            self._file = Path(settings.state) / f"budgets-{settings.name}.bin"
            self._read()
        self._no_call: set[str] = set()  # runs whose call found no room yet
        self.lease_source: LeaseSource | None = None
        self._sender = 0
        self.admission_queue: AdmissionQueue | None = None
        self.call_queue: AdmissionQueue | None = None
        self._asked: tuple[str, list[str], str, AdmissionCheck] = "", [], "", ADMITTED  # the last that found no room
        self._why: dict[str, dict[str, Any]] = {}
        unknown = {limit.cls for limit in settings.limits.values()} - {"", *classes}
        if unknown:
            log.warning("fleet: limits on classes that this server does not have", classes=sorted(unknown))

    def now(self) -> float:
        """The clock that limits go by."""
        return true_ms() * self.rate

    def _read(self) -> None:
        assert self._file is not None
        try:
            self._vault = vaultfile.read(self._file)
        except vaultfile.CorruptBudgetFileError as why:
            raise ConfigError(f"state: {why} is spoilt: what was spent can't be known") from None
        except OSError as error:
            raise ConfigError(f"state: cannot read {self._file}: {error.strerror}") from None

    def start(self, boot: int) -> None:
        """The address is ours: take part."""
        names, now = self.settings.roll.names, self.now()
        if self._file is not None:
            try:
                self._read()  # again: a process before us wrote in it until it left the address to us
            except ConfigError as error:
                log.error("fleet: no budget is vouched for", error=str(error))
                self._file = None
        self.coordinator = LimitCoordinator(
            Incarnation(self.settings.name, boot),
            self.settings.grants,
            self.settings.limits,
            names,
            now,
            self.settings.limits_version,
            self.settings.engine is not None,
            self._vault,
        )
        self.coordinator.wall_offset_ms = time.time() * 1000 + self.settings.wall_shift_ms - now
        self.admission_queue, self.call_queue = AdmissionQueue(self.coordinator), AdmissionQueue(self.coordinator)
        self.peers.others[MAGIC[:3]] = self._heard
        gevent.spawn(self._clock)
        if self._file is not None:
            gevent.spawn(self._keep)
        if self.settings.engine is not None:  # loaded only where one is set
            from myrtlespar.fleet.lease_source import LeaseSource

            self.lease_source = LeaseSource(
                self.settings.engine, self.settings.fleet, self.coordinator, self.now, self._carry, self.counters
            )
            gevent.spawn(self.lease_source.run)

    def retire(self) -> None:
        """A second process of our name goes on, or none."""
        if self.coordinator is not None:
            self.coordinator.retire()

    def adopt(self, fresh: FleetSettings) -> str:
        """Take a later version of the limits over, whole or not at all: why not, or empty."""
        if fresh.limits == self.settings.limits and fresh.limits_version == self.settings.limits_version:
            return ""
        fault = limits_fault(self.settings, fresh)
        if not fault and self.coordinator is not None and not self.coordinator.grant_holder.settled:
            fault = f"limits_version: version {self.settings.limits_version} is not yet known to be taken by all"
        if fault:
            self.counters.add("limits.change_refused")
            return fault
        self.settings = replace(self.settings, limits=fresh.limits, limits_version=fresh.limits_version)
        if self.coordinator is not None:
            self._carry(self.coordinator.adopt_limits(self.now(), fresh.limits, fresh.limits_version))
        log.info("fleet: limits taken over", version=fresh.limits_version)
        return ""

    def here(self, names: frozenset[str]) -> None:
        """Whom membership believes here, oneself apart."""
        if self.coordinator is not None:
            self.coordinator.present_members = names

    def _clock(self) -> None:
        agent = self.coordinator
        assert agent is not None
        while not agent.grant_holder.retired:
            now = self.now()
            agent.wall_offset_ms = time.time() * 1000 + self.settings.wall_shift_ms - now
            if agent.next_at() <= now:
                self._carry(agent.tick(now))
            gevent.sleep(max(0.001, (agent.next_at() - self.now()) / 1000.0))

    def _heard(self, data: bytes, _: float) -> None:
        try:
            letter = decode(data)
        except UnsupportedPeerVersionError:
            return self.counters.add("limits.other_version")
        except MalformedPeerMessageError as why:
            return self.counters.add(f"limits.spoilt.{str(why).replace(' ', '_')}")
        if letter.fleet != self.settings.fleet or letter.name == self.settings.name or self.coordinator is None:
            return self.counters.add("limits.foreign")
        self._carry(self.coordinator.receive(self.now(), Incarnation(letter.name, letter.incarnation), letter.message))
        return None

    def _carry(self, effects: list[LimitEffect]) -> None:
        assert self.coordinator is not None
        name, boot = self.coordinator.self_id
        for effect in effects:
            if isinstance(effect, PersistThenSend):
                self._keeps.append(effect)
                self._keeps_due.set()
                continue
            if not isinstance(effect, SendMessage):
                self.counters.add(f"limits.{effect.counter.replace(' ', '_')}")
                if effect.log_message and self.counters.rare(f"limits.log.{effect.counter}"):
                    log.warning("fleet: " + effect.log_message)
                continue
            data = encode(LimitDatagram(self.settings.fleet, name, boot, effect.message))
            if len(data) > DATAGRAM_MOST:  # guards the link's promise; keys are too long for one datagram
                self.counters.add("limits.oversized")
                continue
            self.peers.send(effect.recipient, data)

    def _keep(self) -> None:
        """Write what the vault holds, then send what was to be sent behind that; many at a time."""
        agent = self.coordinator
        assert agent is not None
        assert self._file is not None
        saved = dict(agent.budget_journal.totals)
        while not agent.grant_holder.retired:
            self._keeps_due.wait()
            self._keeps_due.clear()
            keeps, self._keeps = self._keeps, []
            rows = dict(agent.budget_journal.totals)
            try:
                if rows != saved:
                    gevent.get_hub().threadpool.apply(vaultfile.write, (self._file, rows))
                    saved = rows
            except OSError as error:  # guards against answers for what would not outlive us
                self.counters.add("limits.unwritten", len(keeps))
                if self.counters.rare("limits.log.unwritten"):
                    log.error("fleet: budgets can't be written down", error=str(error))
                continue
            for keep in keeps:
                self._carry(agent.persisted(self.now(), keep))

    # The policy's port.

    def admit(self, id: str, cls: int, sender: int) -> float:
        """0: there is room under every limit, and it is taken. Otherwise in how many ms there may be."""
        applying = self._applying[cls]
        if not applying:
            return 0.0
        now, places = self.now(), self.admission_queue
        if places is None:
            return 100.0
        keys = [self._key(name, limit, id, sender) for name, limit in applying]
        key, room = places.try_acquire(now, id, keys)
        if key:
            self._asked = id, keys, key, room
            self._sender = sender
            if places.waiting_by_caller[sender] >= HELD_MOST:
                self.counters.add("limits.line_full")
                return float("inf")
            return room.retry_after_ms
        for name, _ in applying:
            self.admitted[name] = self.admitted.get(name, 0) + 1
        return 0.0

    def enqueue(self, id: str, order: float) -> None:
        """It waits for the room that it was just told of; the lowest order is first."""
        if self.admission_queue is not None and self._asked[0] == id:
            self.counters.add("limits.held")
            self.admission_queue.enqueue(id, order, self._asked[1], self._sender)

    def reject(self, id: str, after_ms: float) -> float:
        """It is refused for want of room: when its caller is to come back, spread over the time behind `after_ms`."""
        asked, _, key, room = self._asked
        if id == asked:
            after_ms = room.retry_after_ms
        if self.admission_queue is None or self.coordinator is None:
            return after_ms * (1 + self.random.random())
        if id in self.admission_queue.waiting:  # it was held as long as it was of use
            keys = self.admission_queue.waiting[id].keys
            key = next((one for one in keys if self.coordinator.available(self.now(), one) <= 0), keys[0])
            room = self.coordinator.check_admission(self.now(), key, 0, True)
        elif id != asked:
            key = ""
        if key:
            name = key.partition("/")[0]
            self.counters.add("limits.refused")
            self.refused[name] = self.refused.get(name, 0) + 1
            self._why[name] = {
                "key": key,
                "at": time.time() * 1000,
                "allowance": room.allowance,
                "used": room.used,
                "granted": room.granted,
                "keeper": self.coordinator.leader(key),
                "granted_for_ms": round(room.grant_remaining_ms),
                "waiting": len(self.admission_queue.waiting),
            }
        return after_ms * (1 + self.random.random())

    def take_ready(self) -> list[str]:
        """Waiting ones that may ask for room again now."""
        places = self.admission_queue
        return places.take_ready(self.now()) if places is not None and places.waiting else []

    def next_ready_ms(self) -> float:
        """In how long the first waiting one may have room; infinity if that is not known."""
        places = self.admission_queue
        return places.next_ready_ms(self.now()) if places is not None and places.waiting else float("inf")

    def release(self, id: str) -> None:
        """It has ended, or will never ask again."""
        self._no_call.discard(id)
        if self.admission_queue is not None:
            self.admission_queue.release(id)

    def admit_call(self, id: str, cls: int) -> bool:
        """Whether there is room for a call to the store, under every limit on those; if so, it is taken."""
        applying = self._calling[cls]
        if not applying:
            return True
        if self.call_queue is None:
            return False
        now = self.now()
        self.call_queue.release_due(now)
        key, _ = self.call_queue.try_acquire(
            now, id, [self._key(name, limit, id, 0) for name, limit in applying], id in self._no_call
        )
        if key:
            if id not in self._no_call:
                self.counters.add("limits.call_waits")
                self._no_call.add(id)
            return False
        self._no_call.discard(id)
        for name, _ in applying:
            self.admitted[name] = self.admitted.get(name, 0) + 1
        return True

    def release_call(self, id: str, after_ms: float) -> None:
        """The call is over; the store may have it in hand for so long still."""
        if self.call_queue is not None and after_ms > 0:
            self.call_queue.release_after(self.now(), id, after_ms)
        elif self.call_queue is not None:
            self.call_queue.release(id)

    def record_attempt(self, again: bool) -> bool:
        """A first try or a repeat was read. False: there is no budget for this repeat."""
        if self.retry_budget is None or self.retry_budget.record_attempt(again):
            return True
        self.counters.add("limits.repeat_refused")
        return False

    def may_retry(self) -> bool:
        """Whether a caller that is refused now may be left free to try again."""
        if self.retry_budget is None or self.retry_budget.may_retry(self.now()):
            return True
        self.counters.add("limits.repeat_not_offered")
        return False

    def _key(self, name: str, limit: Limit, id: str, sender: int) -> str:
        if not limit.by:
            return name
        if limit.by == "prefix":
            return f"{name}/{caller_prefix(self._key_of(id), limit.until)}"
        return f"{name}/{sender if limit.by == 'peer' else self.settings.site}"

    # What operators see.

    def report(self) -> bytes:
        """The answer to LIMITS: one JSON line."""
        agent, now = self.coordinator, self.now()
        if agent is None:
            return b'{"waiting": true}\n'
        rows = []
        for key, share in sorted(agent.grant_holder.allowances.items()):
            rows.append(
                {
                    "key": key,
                    "limit": share.limit.amount,
                    "kind": share.limit.kind.value,
                    "of": share.limit.counted_unit.value,
                    "standing": share.guaranteed_share,
                    "granted": share.granted(now),
                    "granted_for_ms": round(max(0.0, share.granted_until - now)),
                    "used": share.usage.in_use(now),
                    "keeper": agent.leader(key),
                    "range": shard_of(key, agent.settings.ranges),
                }
            )
        kept = [
            {
                "range": n,
                "epoch": one.election.epoch,
                "since_ms": round(now - one.election.acquired_at),
                "unknown": sorted(one.ledger.unreported_voters),
                "out": {key: one.ledger.outstanding(now, key) for key in one.ledger.grants},
            }
            for n, one in enumerate(agent.shards)
            if one.ledger is not None and one.election.holds_lease(now)
        ]
        return (
            json.dumps(
                {
                    "name": self.settings.name,
                    "version": agent.version,
                    "settled": agent.grant_holder.settled,
                    "engine_ms": None
                    if self.lease_source is None
                    else round(now - self.lease_source.answered_at)
                    if self.lease_source.answered_at > 0
                    else "never",
                    "behind": agent.outdated_voters() if kept else None,
                    "waiting": len(self.admission_queue.waiting) if self.admission_queue is not None else 0,
                    "repeats_left": None if self.retry_budget is None else round(self.retry_budget.remaining, 1),
                    "budgets": [
                        {
                            "key": key,
                            "period": number,
                            "limit": one.limit.amount,
                            "got": one.drawn_total - one.returned_total,
                            "spent": one.spent,
                            "left": one.remaining,
                            "keeper": agent.leader(key),
                        }
                        for (key, number), one in sorted(agent.budget_account.balances.items())
                    ],
                    "keys": rows,
                    "keeps": kept,
                    "admitted": self.admitted,
                    "refused": self.refused,
                    "why": self._why,
                    "counts": {
                        name: count for name, count in self.counters.report().items() if name.startswith("limits.")
                    },
                }
            ).encode()
            + b"\n"
        )

    def metrics(self) -> list[str]:
        """Lines of Prometheus text, by limit; keys of one limit are summed."""
        agent, now = self.coordinator, self.now()
        if agent is None:
            return []
        sums: dict[str, dict[str, int]] = {
            name: {"granted": 0, "standing": 0, "used": 0} for name in self.settings.limits
        }
        for (key, _), one in agent.budget_account.balances.items():
            sums[key.partition("/")[0]]["granted"] += one.drawn_total - one.returned_total
            sums[key.partition("/")[0]]["used"] += one.spent
        for key, share in agent.grant_holder.allowances.items():
            row = sums[key.partition("/")[0]]
            row["granted"] += share.granted(now)
            row["standing"] += share.guaranteed_share
            row["used"] += share.usage.in_use(now)
        out = []
        for kind in ("granted", "standing", "used"):
            out.append(f"# TYPE fleet_limit_{kind} gauge")
            out += [f'fleet_limit_{kind}{{limit="{name}"}} {row[kind]}' for name, row in sums.items()]
        for kind, counts in (("admitted", self.admitted), ("refused", self.refused)):
            out.append(f"# TYPE fleet_limit_{kind}_total counter")
            out += [f'fleet_limit_{kind}_total{{limit="{name}"}} {counts.get(name, 0)}' for name in sums]
        return out
