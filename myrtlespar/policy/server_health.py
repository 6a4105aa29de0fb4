"""The reported health: good, unless this server drains or reads its arrivals far too late."""

from __future__ import annotations

from myrtlespar.policy.action_list import ActionList
from myrtlespar.policy.delayed_rejection import OVERLOAD_SLACK_FRACTION, DelayedRejection
from myrtlespar.policy.drain_deadline import DrainDeadline
from myrtlespar.policy.messages import SetHealth
from myrtlespar.policy.server_capacity import ServerCapacity

# Multiple of O, the overload threshold, that the read delay must exceed for bad health: the delay then takes up the
# whole slack of a request.
UNHEALTHY_THRESHOLD_FACTOR = 1.0 / OVERLOAD_SLACK_FRACTION


class ServerHealth:
    """Decides what health checks report.

    Attributes:
        is_reported_unhealthy: Bad health is reported because arrivals are read too late, so that service discovery
            sends no more callers.
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
        self.is_reported_unhealthy = False

    def report(self, good: bool) -> None:
        """Set the result of health checks, also of deep ones: a real deep check would cost core time and a call."""
        self._actions.append(SetHealth(good, is_cached=True))

    def update(self) -> None:
        """Report bad health once the read delay exceeds the whole slack, and good health once it is at most O.

        Bad health moves callers to other servers. While the whole fleet is overloaded, health stays good, as bad
        health would only move the load to other overloaded servers.
        """
        if not self._discovery_follows_health:
            return
        threshold_ms = self._overload.overload_threshold_ms()
        if not self.is_reported_unhealthy:
            threshold_ms *= UNHEALTHY_THRESHOLD_FACTOR if self._capacity.is_within_even_share() else float("inf")
        is_unhealthy = self._overload.read_delay_ms > threshold_ms
        if is_unhealthy != self.is_reported_unhealthy and not self._drain.is_draining():
            self.is_reported_unhealthy = is_unhealthy
            self._actions.log(
                "health set to bad: arrivals are read too late"
                if is_unhealthy
                else "health set to good: arrivals are read in time again"
            )
            self.report(not is_unhealthy)
