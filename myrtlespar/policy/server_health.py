"""What health checks report: good, unless this server drains or reads its arrivals far too late."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.delayed_rejection import OVERLOAD_SLACK_FRACTION, DelayedRejection
from myrtlespar.policy.drain_deadline import DrainDeadline
from myrtlespar.policy.messages import SetHealth
from myrtlespar.policy.server_capacity import ServerCapacity

WITHDRAW_MARKS = (
    1.0 / OVERLOAD_SLACK_FRACTION
)  # multiple of O for which arrivals wait unread when health turns bad: all slack


class ServerHealth:
    """Decides what health checks report.

    Attributes:
        is_withdrawn: Bad health is reported because of unread arrivals, so that service discovery sends no callers.
    """

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
        """Set what health checks report. It answers deep checks too, as a real one would cost work and a call."""
        self._actions.append(SetHealth(good, is_cached=True))

    def update(self) -> None:
        """Report bad health once arrivals wait unread for the whole slack, until they wait for less than O.

        Callers then turn to other servers. In an overload of the whole fleet health does not turn bad, as that
        would only move the load to others.
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
