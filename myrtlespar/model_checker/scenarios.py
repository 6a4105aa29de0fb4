"""The scenarios that the checker explores. Their names stand in saved counter-examples, so they stay as they are."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScenarioAttempt:
    """One attempt of a request.

    Attributes:
        front: `thrift` or `ajp`.
        effectful: It must not run twice.
        key: Its idempotency key, if any.
        target: The AJP worker that runs it; empty: the engine.
        link: The number of the attempt whose connection it shares; -1: it has its own.
    """

    front: str = "thrift"
    effectful: bool = True
    key: str = ""
    target: str = ""
    link: int = -1


@dataclass(frozen=True, slots=True)
class Scenario:
    """The bounds of one exploration: who calls, and how often each fault may happen.

    One tick is a second; an attempt is due after two, the grace period after the drain notice is one.
    """

    name: str
    attempts: tuple[ScenarioAttempt, ...]
    ticks: int = 4
    link_breaks: int = 0  # of the link to the engine
    duplicate_notices: int = 0
    lost_notices: int = 0
    engine_restarts: int = 0
    incarnations: int = 1  # of the server
    drain: bool = False
    drain_notices: int = 1  # where there is a drain
    handover: bool = False  # the notice is SIGTERM beside a second process: a hand-over, not a drain
    stalled_links: int = 0  # links that accept nothing more before they break
    cancellations: int = 0  # by clients
    resets: int = 0  # of clients' connections
    closes: int = 0  # of idle connections, by the server
    malformed_messages: int = 0
    calls: int = 0  # that each run makes
    bad_replies: int = 0
    einvals: int = 0  # starts that the engine rejects
    gauge_requests: int = 0
    reloads: int = 0  # that move the links
    bad_reloads: int = 0
    models_dependency: bool = False  # with its connections, else only the ends of calls
    dependency_faults: int = 0
    dependency_connections: int = 2
    remembered_requests: int = 2  # newest requests remembered of a connection to the dependency
    dependency_queue: int = 8  # calls that may wait for a connection
    unexpected_decisions: int = 0  # of the policy
    ordered: bool = True  # attempts that no observer could tell apart are sent in one order
    starts_read: bool = False  # all attempts are read at the beginning
    policy_silent: bool = False  # the policy decides nothing at all
    max_keys: int = 8
    max_followers: int = 8
    key_ms: float = 60000.0  # how long a key is remembered

    def identical_predecessor(self, n: int) -> int:
        """The attempt before this one that no observer could tell from it, or -1: they are sent in this order."""
        if not self.ordered:
            return -1
        return next((m for m in range(n - 1, -1, -1) if self.attempts[m] == self.attempts[n]), -1)


THRIFT_ORDER = ScenarioAttempt(key="k")
AJP_ORDER = ScenarioAttempt("ajp", key="k")
READ = ScenarioAttempt(effectful=False)

ALL = {
    scenario.name: scenario
    for scenario in (
        Scenario("quick", (AJP_ORDER, THRIFT_ORDER), link_breaks=1, drain=True, cancellations=1, ticks=3),
        Scenario("once", (ScenarioAttempt(),), link_breaks=1, cancellations=1, ticks=3),
        Scenario(
            "calls",
            (ScenarioAttempt(),),
            link_breaks=1,
            calls=2,
            bad_replies=1,
            cancellations=1,
            ticks=3,
            duplicate_notices=1,
            starts_read=True,
        ),
        Scenario("reads", (READ,), link_breaks=1, engine_restarts=1, cancellations=1, ticks=3, calls=1),
        Scenario("mixed", (READ, ScenarioAttempt()), link_breaks=1, ticks=1),
        Scenario(
            "wires", (ScenarioAttempt(),), link_breaks=1, duplicate_notices=1, einvals=1, reloads=2, ticks=2, resets=1
        ),
        Scenario("deaf", (ScenarioAttempt(),), link_breaks=1, stalled_links=1, ticks=2, starts_read=True),
        Scenario("gaps", (READ, READ), lost_notices=1, gauge_requests=1, ticks=1, starts_read=True),
        Scenario("kernels", (READ, READ), engine_restarts=1, gauge_requests=1, ticks=1, starts_read=True),
        Scenario("handover", (THRIFT_ORDER, ScenarioAttempt("ajp")), drain=True, handover=True, ticks=3),
        Scenario("fronts", (ScenarioAttempt("ajp"), ScenarioAttempt()), drain=True, resets=1, ticks=2),
        Scenario(
            "spoilt",
            (ScenarioAttempt("ajp"),),
            drain=True,
            closes=1,
            malformed_messages=1,
            ticks=3,
            bad_reloads=1,
            reloads=1,
        ),
        Scenario(
            "framed",
            (ScenarioAttempt(),),
            drain=True,
            drain_notices=2,
            resets=1,
            closes=1,
            malformed_messages=1,
            cancellations=1,
            ticks=4,
        ),
        Scenario(
            "shared",
            (ScenarioAttempt(), ScenarioAttempt(link=0)),
            resets=1,
            malformed_messages=1,
            ticks=1,
            cancellations=1,
        ),
        Scenario(
            "heirs",
            (THRIFT_ORDER, THRIFT_ORDER, THRIFT_ORDER),
            cancellations=2,
            ticks=2,
            max_followers=2,
            key_ms=1500.0,
        ),
        Scenario("crowd", (THRIFT_ORDER, THRIFT_ORDER, THRIFT_ORDER), ticks=1, max_followers=1),
        Scenario(
            "full",
            (ScenarioAttempt(key="k"), ScenarioAttempt("ajp", key="l")),
            max_keys=1,
            cancellations=1,
            ticks=3,
            key_ms=500.0,
        ),
        Scenario(
            "workers",
            (ScenarioAttempt("ajp", key="k", target="w"), ScenarioAttempt(key="k", target="w")),
            cancellations=1,
            ticks=3,
            drain=True,
        ),
        Scenario(
            "store",
            (ScenarioAttempt(),),
            models_dependency=True,
            calls=2,
            dependency_faults=1,
            dependency_connections=1,
            ticks=3,
            cancellations=1,
            reloads=1,
            starts_read=True,
        ),
        Scenario(
            "stores",
            (READ, READ),
            models_dependency=True,
            calls=1,
            dependency_faults=1,
            dependency_connections=1,
            dependency_queue=2,
            ticks=1,
            starts_read=True,
        ),
        Scenario("rude", (ScenarioAttempt(),), unexpected_decisions=2, calls=1, ticks=3, cancellations=1),
        Scenario("forgets", (AJP_ORDER, THRIFT_ORDER), policy_silent=True, ticks=4, cancellations=1, drain=True),
        Scenario("large", (THRIFT_ORDER, THRIFT_ORDER, THRIFT_ORDER), incarnations=2, link_breaks=2, ticks=2),
    )
}
QUICK = tuple(name for name in ALL if name != "large")
