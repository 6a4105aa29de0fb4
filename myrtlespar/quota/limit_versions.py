"""The version of the limits that this member uses, and the versions that the voters are known to use."""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.quota.grant_holder import GrantHolder
from myrtlespar.quota.messages import LimitCounter
from myrtlespar.quota.outbox import Outbox
from myrtlespar.quota.settings import GrantSettings, Limit


class LimitVersions:
    """The limits in use, and whether all voters are known to use the same version of them."""

    def __init__(
        self,
        settings: GrantSettings,
        limits: Mapping[str, Limit],
        version: int,
        self_name: str,
        voters: frozenset[str],
        grant_holder: GrantHolder,
        outbox: Outbox,
    ) -> None:
        self.limits = dict(limits)
        self.version = version
        self._settings = settings
        self._self_name = self_name
        self._voters = voters
        self._grant_holder = grant_holder
        self._outbox = outbox
        self._voter_versions = {self_name: version}  # by voter; only a shard leader receives the versions of the others
        self._settled_before = 0  # the previous version, if it was settled; otherwise 0
        self._all_adopted_at: float | None = None  # since when all voters are known to use this version or a later one

    def limit_of(self, key: str) -> Limit | None:
        """Return the limit of a key, which has the form `limit` or `limit/value`."""
        return self.limits.get(key.partition("/")[0])

    def adopt(self, limits: Mapping[str, Limit], version: int) -> None:
        """Adopt a later version of the limits, which is not settled yet."""
        self._settled_before = self.version if self._grant_holder.settled else 0
        self.limits = dict(limits)
        self.version = version
        self._voter_versions[self._self_name] = version
        self._all_adopted_at = None
        self._grant_holder.adopt_limits(self.limits, False)

    def outdated_voters(self) -> list[str]:
        """Return the voters not known to use this version; only a shard leader knows the versions of all."""
        return sorted(name for name in self._voters if self._voter_versions.get(name, 0) < self.version)

    def record(self, now: float, name: str, version: int) -> None:
        """Record the version that another member reports."""
        if name not in self._voters:
            return
        if version > self._voter_versions.get(self._self_name, 0) and version > self._voter_versions.get(name, 0):
            self._outbox.count(
                LimitCounter.LATER_VERSION,
                f"{name} uses version {version} of the limits, this member version {self.version}",
            )
        self._voter_versions[name] = version
        if self.outdated_voters():
            self._all_adopted_at = None
        elif self._all_adopted_at is None:
            self._all_adopted_at = now

    def settle_if_due(self, now: float) -> None:
        """Settle the current version if all members adopted it long enough ago."""
        if not self._grant_holder.settled and self.is_settled(now):
            self.settle()

    def settle(self) -> None:
        """Divide limits by the current version alone, without allowing for members that use the previous one."""
        self._grant_holder.adopt_limits(self.limits, True)

    def settled_version(self, now: float) -> int:
        """Return the latest version known to be settled, which is announced to the holders; 0 if none is.

        While the current version is not settled, this is the previous one. A member that does not know yet that the
        previous version is settled could otherwise never adopt the current one, which can't settle before that member
        adopts it.
        """
        return self.version if self.is_settled(now) else self._settled_before

    def is_settled(self, now: float) -> bool:
        """Return whether all voters use this version and all use of grants under earlier versions has ended."""
        if self._all_adopted_at is None:
            return False
        return now >= self._all_adopted_at + self.longest_grant_wait_ms()

    def longest_grant_wait_ms(self) -> float:
        """Return the time in ms after which any earlier grant, and all use that it admitted, has ended."""
        longest_linger_ms = max((limit.linger_ms for limit in self.limits.values()), default=0)
        return self._settings.safe_wait_ms(self._settings.grant_ms + longest_linger_ms)

    def pool(self, limit: Limit) -> int:
        """Return the part of a limit that a shard leader grants."""
        members = self._settings.members_most or len(self._voters)
        settled = self._grant_holder.settled and not self.outdated_voters()
        return self._settings.split(limit, members, settled).pool
