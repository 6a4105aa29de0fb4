"""How two processes of one server share its capacity while one of them replaces the other.

The old process holds all of the capacity at first. It only ever gives up parts of its share, and the replacement uses
what the old process has given up. So both together never use more than the server has, even if the replacement learns
of a change late.
"""

from __future__ import annotations

from dataclasses import dataclass

SERVING_FRACTION = 0.5  # of the capacity that the old process may keep while it accepts new requests
ENDING_FRACTION = 0.125  # of the capacity that it keeps for requests that were sent before its clients left


@dataclass(frozen=True, slots=True)
class ServerShare:
    """A part of the capacity of one server.

    Attributes:
        memory_kb: Memory for requests, runs and idempotency keys.
        run_fraction: Fraction of the runs that may be started and not ended.
        calls: Calls in flight to the shared dependency.
        mean_calls: Mean of the calls in flight, which has a limit of its own.
    """

    memory_kb: float = 0.0
    run_fraction: float = 0.0
    calls: float = 0.0
    mean_calls: float = 0.0


NOTHING = ServerShare()


@dataclass(frozen=True, slots=True)
class ShareDemand:
    """What a process needs of the capacity of its server.

    Attributes:
        in_use: What its requests, runs and calls take now.
        expected: What they take once all requests that wait have started.
    """

    in_use: ServerShare
    expected: ServerShare


def shrink_share(share: ServerShare, capacity: ServerShare, demand: ShareDemand, is_ending: bool) -> ServerShare:
    """Return what an old process keeps of its share; no value is greater than before.

    Args:
        share: Its share so far.
        capacity: The capacity of the server.
        demand: What the process needs.
        is_ending: Whether it accepts no new connections any more; it then keeps no more than it needs.
    """
    in_use = demand.in_use
    expected = demand.expected

    def keep(held: float, whole: float, used: float, awaited: float) -> float:
        wanted = SERVING_FRACTION * whole
        if is_ending:
            wanted = max(ENDING_FRACTION * whole, min(wanted, awaited))
        return min(held, max(used, wanted))

    return ServerShare(
        keep(share.memory_kb, capacity.memory_kb, in_use.memory_kb, expected.memory_kb),
        keep(share.run_fraction, capacity.run_fraction, in_use.run_fraction, expected.run_fraction),
        keep(share.calls, capacity.calls, in_use.calls, expected.calls),
        in_use.mean_calls,
    )


def rest_of(capacity: ServerShare, share: ServerShare) -> ServerShare:
    """Return the part of the capacity that is left to the other process; the holder's own mean of calls is no limit."""
    return ServerShare(
        capacity.memory_kb - share.memory_kb,
        capacity.run_fraction - share.run_fraction,
        capacity.calls - share.calls,
    )
