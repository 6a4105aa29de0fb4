"""A fault script as data. Where a key of the script has another name, the docstring has it in parentheses."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.errors import MyrtlesparError
from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.quota.settings import Limit

Sites = Mapping[str, tuple[str, ...]]  # names of members by site


class ScriptError(MyrtlesparError):
    """One line that names the faulty key and says why."""


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """Requests of all client proxies together. Each request is retried at most `max_retries` (`most`) times."""

    rate: float = 0.0  # requests a second
    mix: Mapping[str, float] = field(default_factory=dict)  # weights by class
    proxies: int = 0
    max_retries: int = 0
    after_ms: float = 200.0  # from a rejection to the retry


@dataclass(frozen=True, slots=True)
class ScriptStep:
    """One thing done at one time.

    `kind` is `rule_on` or `rule_off` (a fault on links), `kill`, `start`, `pause`, `resume`, `lose` or `back` (members
    with their engines), `leave` (a graceful end) or `replace` (a second process takes over).
    """

    at_ms: float
    kind: str
    names: tuple[str, ...] = ()
    number: int = 0  # of the event it comes from
    rule: FaultRule | None = None


@dataclass(frozen=True, slots=True)
class Script:
    """A complete script; `steps` are in order of time, `checks` (`judge`) says which promises are checked."""

    sites: Sites
    length_ms: float
    steps: tuple[ScriptStep, ...]
    load: LoadSettings
    checks: tuple[str, ...]
    limits: Mapping[str, Limit] = field(default_factory=dict)
    engine: bool = False  # whether the fleet's limits take leases from an etcd, which the script calls engine

    @property
    def members(self) -> tuple[str, ...]:
        """All names, site by site."""
        return tuple(name for names in self.sites.values() for name in names)

    def site_of(self, name: str) -> str:
        """The site of a member."""
        return next(site for site, names in self.sites.items() if name in names)
