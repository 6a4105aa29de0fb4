"""The scenarios of the model checker. Saved counter-examples contain their names, so they must not change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ScenarioAttempt:
    """One attempt of a request.

    Attributes:
        front: The client protocol, `thrift` or `ajp`.
        effectful: Whether the request must not run twice.
        key: The idempotency key; empty if there is none.
        target: The name of the AJP worker that runs the request; empty for the engine.
        link: The index of the attempt whose connection it shares; -1 if it has a connection of its own.
    """

    front: str = "thrift"
    effectful: bool = True
    key: str = ""
    target: str = ""
    link: int = -1


@dataclass(frozen=True, slots=True)
class Scenario:
    """The bounds of one exploration: the attempts of clients, and how often each fault may happen.

    A tick advances the clock by 1 s. An attempt is due 2 s after its arrival, and the grace period after the drain
    notice is 1 s long.
    """

    name: str
    attempts: tuple[ScenarioAttempt, ...]
    ticks: int = 4
    link_breaks: int = 0  # breaks of the link to the engine
    duplicate_notices: int = 0
    lost_notices: int = 0
    engine_restarts: int = 0
    incarnations: int = 1  # how often the server is started
    drain: bool = False
    drain_notices: int = 1  # used only if `drain` is set
    handover: bool = False  # the drain notice is a SIGTERM while a second process serves: a hand-over, not a drain
    stalled_links: int = 0  # engine links that accept no more writes before they break
    cancellations: int = 0  # requests cancelled by clients
    resets: int = 0  # resets of client connections after the request is complete
    closes: int = 0  # idle client connections closed by the server
    malformed_messages: int = 0
    calls: int = 0  # maximum number of calls that each run makes
    bad_replies: int = 0
    einvals: int = 0  # starts that the engine rejects
    gauge_requests: int = 0
    reloads: int = 0  # reloads that move the links to new addresses
    bad_reloads: int = 0
    models_dependency: bool = False  # model the dependency's connections, not only the outcomes of calls
    dependency_faults: int = 0
    dependency_connections: int = 2
    remembered_requests: int = 2  # newest request ids that are remembered for each connection to the dependency
    dependency_queue: int = 8  # calls that may wait for a connection
    unexpected_decisions: int = 0  # decisions that the policy takes although it should not
    ordered: bool = True  # identical attempts are sent in one fixed order, which reduces the number of states
    starts_read: bool = False  # all attempts have been read when the exploration begins
    policy_silent: bool = False  # the policy takes no decisions
    max_keys: int = 8
    max_followers: int = 8
    key_ms: float = 60000.0  # how long a key is remembered

    def identical_predecessor(self, n: int) -> int:
        """Return the index of the nearest earlier attempt that equals attempt `n`, or -1 if there is none.

        Attempt `n` may be sent only after it. Returns -1 always if `ordered` is not set.
        """
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
