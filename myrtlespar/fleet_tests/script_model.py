"""A parsed fault script. Docstrings give the key in the script in parentheses if it has another name."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from myrtlespar.errors import MyrtlesparError
from myrtlespar.fault_proxy.faults import FaultRule
from myrtlespar.quota.settings import Limit

Sites = Mapping[str, tuple[str, ...]]  # member names by site


class ScriptError(MyrtlesparError):
    """A script is invalid; the message is one line that names the key and the reason."""


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """The requests of all client proxies together.

    Attributes:
        rate: Requests per second.
        mix: Relative frequencies by request class.
        proxies: The number of client proxies.
        max_retries: The limit of retries of one request (`most`).
        after_ms: The delay from a rejection to the retry.
    """

    rate: float = 0.0
    mix: Mapping[str, float] = field(default_factory=dict)
    proxies: int = 0
    max_retries: int = 0
    after_ms: float = 200.0


@dataclass(frozen=True, slots=True)
class ScriptStep:
    """One action at one time.

    Attributes:
        at_ms: The time from the start of the script.
        kind: `rule_on` or `rule_off` (a fault on links), `kill`, `start`, `pause`, `resume`, `lose` or `back` (kills or
            restarts members with their engines), `leave` (a graceful end) or `replace` (a second process takes over).
        names: The members.
        number: The index of the event that the step belongs to.
        rule: The fault on links of `rule_on` and `rule_off`.
    """

    at_ms: float
    kind: str
    names: tuple[str, ...] = ()
    number: int = 0
    rule: FaultRule | None = None


@dataclass(frozen=True, slots=True)
class Script:
    """A complete script. `steps` are ordered by time; `checks` (`judge`) lists the promises to check."""

    sites: Sites
    length_ms: float
    steps: tuple[ScriptStep, ...]
    load: LoadSettings
    checks: tuple[str, ...]
    limits: Mapping[str, Limit] = field(default_factory=dict)
    engine: bool = False  # whether the fleet has an etcd ("engine" in scripts) for the leases of its limits

    @property
    def members(self) -> tuple[str, ...]:
        """The names of all members, site by site."""
        return tuple(name for names in self.sites.values() for name in names)

    def site_of(self, name: str) -> str:
        """Return the site of a member."""
        return next(site for site, names in self.sites.items() if name in names)
