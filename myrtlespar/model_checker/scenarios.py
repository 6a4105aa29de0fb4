"""Small worlds: who calls, and how often each thing may go wrong."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScenarioAttempt:
    """One try of a request, over one connection of its own."""

    front: str = "thrift"
    effectful: bool = True
    key: str = ""
    target: str = ""  # empty is the kernel, else a worker
    link: int = -1  # the try whose connection it shares


@dataclass(frozen=True, slots=True)
class Scenario:
    """Bounds of one world. One tick is a second; a try is due after two, the grace after the notice is one."""

    name: str
    tries: tuple[ScenarioAttempt, ...]
    ticks: int = 4
    breaks: int = 0  # of the link to the kernel
    doubled: int = 0  # notices that come twice
    gaps: int = 0  # notices lost on the way
    kernels: int = 0  # restarts of the kernel
    lives: int = 1  # of the server
    drain: bool = False
    notices: int = 1  # to leave, where there is a drain
    handover: bool = False  # the notice is SIGTERM beside a second process: a hand-over, not a drain
    deaf: int = 0  # links that take nothing more before they break
    give_ups: int = 0
    resets: int = 0  # of clients' connections
    closes: int = 0  # of idle connections, by the server
    spoils: int = 0  # messages that can't be read
    calls: int = 0  # that a run makes
    bad_replies: int = 0
    einvals: int = 0
    asks: int = 0  # for the gauges
    moves: int = 0  # reloads that move the links
    bad_reloads: int = 0
    store: bool = False  # the store's connections are in the world, else only the ends of calls
    store_faults: int = 0
    store_links: int = 2
    served: int = 2  # latest requests remembered of a connection to the store
    store_waiting: int = 8
    rude: int = 0  # decisions of the policy that it should not make
    ordered: bool = True  # tries that nobody could tell apart are sent in one order
    begun: bool = False  # all tries are read at the start
    silent: bool = False  # the policy may forget tries: it decides nothing at all
    keys_most: int = 8
    followers: int = 8
    key_ms: float = 60000.0

    def alike(self, n: int) -> int:
        """The try before this one that no observer could tell from it, or -1: they are sent in this order."""
        if not self.ordered:
            return -1
        return next((m for m in range(n - 1, -1, -1) if self.tries[m] == self.tries[n]), -1)


ORDER_T, ORDER_A = ScenarioAttempt(key="k"), ScenarioAttempt("ajp", key="k")
READ = ScenarioAttempt(effectful=False)

ALL = {
    one.name: one
    for one in (
        Scenario("quick", (ORDER_A, ORDER_T), breaks=1, drain=True, give_ups=1, ticks=3),
        Scenario("once", (ScenarioAttempt(),), breaks=1, give_ups=1, ticks=3),
        Scenario(
            "calls", (ScenarioAttempt(),), breaks=1, calls=2, bad_replies=1, give_ups=1, ticks=3, doubled=1, begun=True
        ),
        Scenario("reads", (READ,), breaks=1, kernels=1, give_ups=1, ticks=3, calls=1),
        Scenario("mixed", (READ, ScenarioAttempt()), breaks=1, ticks=1),
        Scenario("wires", (ScenarioAttempt(),), breaks=1, doubled=1, einvals=1, moves=2, ticks=2, resets=1),
        Scenario("deaf", (ScenarioAttempt(),), breaks=1, deaf=1, ticks=2, begun=True),
        Scenario("gaps", (READ, READ), gaps=1, asks=1, ticks=1, begun=True),
        Scenario("kernels", (READ, READ), kernels=1, asks=1, ticks=1, begun=True),
        Scenario("handover", (ORDER_T, ScenarioAttempt("ajp")), drain=True, handover=True, ticks=3),
        Scenario("fronts", (ScenarioAttempt("ajp"), ScenarioAttempt()), drain=True, resets=1, ticks=2),
        Scenario("spoilt", (ScenarioAttempt("ajp"),), drain=True, closes=1, spoils=1, ticks=3, bad_reloads=1, moves=1),
        Scenario(
            "framed", (ScenarioAttempt(),), drain=True, notices=2, resets=1, closes=1, spoils=1, give_ups=1, ticks=4
        ),
        Scenario("shared", (ScenarioAttempt(), ScenarioAttempt(link=0)), resets=1, spoils=1, ticks=1, give_ups=1),
        Scenario("heirs", (ORDER_T, ORDER_T, ORDER_T), give_ups=2, ticks=2, followers=2, key_ms=1500.0),
        Scenario("crowd", (ORDER_T, ORDER_T, ORDER_T), ticks=1, followers=1),
        Scenario(
            "full",
            (ScenarioAttempt(key="k"), ScenarioAttempt("ajp", key="l")),
            keys_most=1,
            give_ups=1,
            ticks=3,
            key_ms=500.0,
        ),
        Scenario(
            "workers",
            (ScenarioAttempt("ajp", key="k", target="w"), ScenarioAttempt(key="k", target="w")),
            give_ups=1,
            ticks=3,
            drain=True,
        ),
        Scenario(
            "store",
            (ScenarioAttempt(),),
            store=True,
            calls=2,
            store_faults=1,
            store_links=1,
            ticks=3,
            give_ups=1,
            moves=1,
            begun=True,
        ),
        Scenario(
            "stores",
            (READ, READ),
            store=True,
            calls=1,
            store_faults=1,
            store_links=1,
            store_waiting=2,
            ticks=1,
            begun=True,
        ),
        Scenario("rude", (ScenarioAttempt(),), rude=2, calls=1, ticks=3, give_ups=1),
        Scenario("forgets", (ORDER_A, ORDER_T), silent=True, ticks=4, give_ups=1, drain=True),
        Scenario("large", (ORDER_T, ORDER_T, ORDER_T), lives=2, breaks=2, ticks=2),
    )
}
QUICK = tuple(name for name in ALL if name != "large")
