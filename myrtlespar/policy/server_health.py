"""What health checks are told: good, unless this server drains or reads its arrivals far too late."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.delayed_rejection import OVERLOAD_SLACK_FRACTION, DelayedRejection
from myrtlespar.policy.drain_deadline import DrainDeadline
from myrtlespar.policy.messages import SetHealth
from myrtlespar.policy.server_capacity import ServerCapacity

WITHDRAW_MARKS = 1.0 / OVERLOAD_SLACK_FRACTION  # times O that arrivals wait unread when health is withdrawn: all slack


class ServerHealth:
    """Whether this server has withdrawn its good health (`is_withdrawn`), so that discovery sends nobody here."""

    def __init__(
        self,
        discovery_follows_health: bool,
        actions: ActionList,
        overload: DelayedRejection,
        capacity: ServerCapacity,
        drain: DrainDeadline,
    ) -> None:
        self._discovery_follows_health = discovery_follows_health
        self._actions = actions
        self._overload = overload
        self._capacity = capacity
        self._drain = drain
        self.is_withdrawn = False

    def report(self, good: bool) -> None:
        """Set what health checks are told; a deep check costs work and a call, so it is answered from store."""
        self._actions.append(SetHealth(good, is_cached=True))

    def update(self) -> None:
        """Report bad while arrivals wait unread past the whole slack, until they wait under O.

        Callers must not go on sending to a slowed or cold server; in a flood that would only move it on.
        """
        if not self._discovery_follows_health:
            return
        mark_ms = self._overload.overload_mark_ms()
        if not self.is_withdrawn:
            mark_ms *= WITHDRAW_MARKS if self._capacity.is_demand_even() else float("inf")
        withdraw = self._overload.unread_ms > mark_ms
        if withdraw != self.is_withdrawn and not self._drain.is_draining():
            self.is_withdrawn = withdraw
            self._actions.log("off the list: what is read is too late" if withdraw else "on the list again")
            self.report(not withdraw)
