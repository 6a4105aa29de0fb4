"""The interfaces that the request coordinator needs from the network side: engines, a dependency, and gauges."""

from __future__ import annotations

from typing import Protocol

from myrtlespar.exchange import Exchange


class ExecutionEngine(Protocol):
    """Runs requests: the execution engine, or a pool of back ends."""

    def run(self, exchange: Exchange) -> None:
        """Start a run; its end is reported by `RequestCoordinator.run_ended`."""

    def resume(self, exchange: Exchange, reply: bytes) -> None:
        """Send a run the reply to the dependency call that it waits for."""


class Dependency(Protocol):
    """Answers the calls that runs make.

    `request_id` names the request that makes the call; `limit_ms` is the time limit of the call in milliseconds.
    """

    def call(self, request_id: str, limit_ms: float, body: bytes) -> None:
        """Make a call for a request; its end is reported by `RequestCoordinator.call_ended`."""

    def cancel_call(self, request_id: str) -> None:
        """Cancel the call of a request."""


class GaugeSource(Protocol):
    """Provides the gauges of the execution engine for ticks of the policy. Times are Unix milliseconds."""

    def request_gauges(self) -> None:
        """Request fresh values."""

    def latest(self, now: float) -> list[float]:
        """Return the latest values, in the order of the settings, or an empty list if they are stale."""
