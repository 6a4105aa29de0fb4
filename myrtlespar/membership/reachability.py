"""Broken links and differing views, for the operators and for view exchanges. No member is declared failed by these."""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.membership.dissemination import Dissemination
from myrtlespar.membership.messages import ReachabilityRow
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import MemberEntry, View, row_hash

ONE_WAY_SETTLE_MS = 3000  # a link is reported as one-way only this long after the member failed
ONE_WAY_HEARD_MS = 2000  # and only if a packet of the member came within this time


def broken_links(rows: Mapping[str, ReachabilityRow]) -> list[str]:
    """The links that members' rows report as broken, one line each, in order of names.

    A row holds only what fails: `a` gets no direct answer from `b`, though indirect probes do. If `a` still receives
    from `b`, what `a` sends gets lost; if neither receives from the other, the pair is cut both ways.
    """
    reports = {(row.reporter, name): hears for row in rows.values() for name, hears in row.unreachable}
    lines: dict[tuple[str, str], str] = {}
    for (reporter, target), hears in reports.items():
        pair = (min(reporter, target), max(reporter, target))
        target_hears = reports.get((target, reporter))
        if target_hears is None:
            lines[pair] = f"{reporter} -> {target} lost" if hears else f"{reporter} gets no answer from {target}"
        elif hears and target_hears:
            lines[pair] = f"{pair[0]} <-> {pair[1]} lossy"
        elif hears or target_hears:
            lines[pair] = f"{reporter} -> {target} lost" if hears else f"{target} -> {reporter} lost"
        else:
            lines[pair] = f"{pair[0]} <-> {pair[1]} cut"
    return [lines[pair] for pair in sorted(lines)]


class ReachabilityMatrix:
    """This member's own reachability row and those of the others, each listing broken direct links."""

    def __init__(
        self, self_id: str, incarnation: int, settings: MembershipSettings, dissemination: Dissemination
    ) -> None:
        self.self_id = self_id
        self.incarnation = incarnation
        self.settings = settings
        self.dissemination = dissemination
        self.rows: dict[str, ReachabilityRow] = {}
        self._version = 0

    def answered_directly(self, view: View, entry: MemberEntry) -> None:
        """A member answered a direct probe: its link works."""
        if not entry.missed_probes:
            return
        reported = entry.missed_probes >= self.settings.link_tries
        entry.missed_probes = 0
        if reported:
            self._publish_own(view)

    def answered_indirectly(self, view: View, entry: MemberEntry, now: float) -> bool:
        """A member answered an indirect probe only.

        Returns whether it should be probed again soon, to see if that was chance.
        """
        if not entry.missed_probes:
            entry.missed_since = now
        entry.missed_probes += 1
        if entry.missed_probes == self.settings.link_tries:
            self._publish_own(view)
        return entry.missed_probes < self.settings.link_tries

    def packet_received(self, view: View, entry: MemberEntry) -> None:
        """A packet of a member that misses direct probes came: one way of its link works."""
        if (
            entry.missed_probes >= self.settings.link_tries
            and self._heard_since_missed(entry)
            and (entry.update.name, True) not in self.rows[self.self_id].unreachable
        ):
            self._publish_own(view)

    def remove(self, view: View, name: str) -> None:
        """A member failed, left or has a new incarnation: drop its row and its entry in ours."""
        view.hash ^= row_hash(self.rows.pop(name, None))
        entry = view.entries.get(name)
        if entry is not None:
            self.answered_directly(view, entry)

    def merge(self, view: View, row: ReachabilityRow) -> None:
        """Take the row of another member if it is newer than the known one."""
        known = self.rows.get(row.reporter)
        entry = view.entries.get(row.reporter)
        if (
            entry is not None
            and entry.present
            and row.incarnation >= entry.update.incarnation
            and (known is None or (row.incarnation, row.version) > (known.incarnation, known.version))
        ):
            self._put(view, row)

    def one_way(self, view: View, now: float) -> list[str]:
        """Members not present whose packets still arrive: they don't receive ours, or no member's."""
        return [
            name
            for name, entry in view.entries.items()
            if not entry.present
            and now - entry.since > ONE_WAY_SETTLE_MS
            and now - entry.last_packet_at < ONE_WAY_HEARD_MS
        ]

    def _heard_since_missed(self, entry: MemberEntry) -> bool:
        return entry.last_packet_at > entry.missed_since + self.settings.direct_max_ms

    def _publish_own(self, view: View) -> None:
        """Rebuild our row and disseminate it."""
        unreachable = [
            (name, self._heard_since_missed(entry))
            for name, entry in view.entries.items()
            if entry.present and entry.missed_probes >= self.settings.link_tries
        ]
        self._version += 1
        limited = tuple(unreachable[: self.settings.cannot])
        self._put(view, ReachabilityRow(self.self_id, self.incarnation, self._version, limited))

    def _put(self, view: View, row: ReachabilityRow) -> None:
        view.hash ^= row_hash(self.rows.get(row.reporter)) ^ row_hash(row)
        self.rows[row.reporter] = row
        self.dissemination.put_row(row)


class ViewDivergence:
    """Members whose view hash differs from ours, and since when."""

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self.since: dict[str, float] = {}
        self.lasting: set[str] = set()

    def compare(self, now: float, name: str, same: bool) -> bool:
        """Record whether a packet's hash is the same; true once it has differed for `differ_ms`."""
        if same:
            self.end(name)
            return False
        return now - self.since.setdefault(name, now) >= self.settings.differ_ms

    def end(self, name: str) -> None:
        """The member's view does not differ, or no longer matters."""
        self.since.pop(name, None)
        self.lasting.discard(name)

    def take_lasting(self, now: float, view: View) -> list[str]:
        """Members whose views have differed for `disagree_ms`, each returned once until its view is the same again."""
        names = []
        for name, since in list(self.since.items()):
            entry = view.entries.get(name)
            if entry is None or not entry.present or now - entry.last_packet_at > self.settings.disagree_ms:
                self.end(name)
            elif now - since >= self.settings.disagree_ms and name not in self.lasting:
                self.lasting.add(name)
                names.append(name)
        return names
