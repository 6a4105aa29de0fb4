"""Broken links and differing views, for operators and view exchanges; no member is declared failed because of them."""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.membership.dissemination import Dissemination
from myrtlespar.membership.messages import ReachabilityRow
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import MemberEntry, View, row_hash

ONE_WAY_SETTLE_MS = 3000  # a link is reported as one-way only this long after the member failed
ONE_WAY_RECENT_PACKET_MS = 2000  # a link is reported as one-way only if a packet from the member came within this time


def broken_links(rows: Mapping[str, ReachabilityRow]) -> list[str]:
    """Describe the links that members' rows report as broken, one line each, in order of names.

    The row of `a` lists `b` if `b` answers indirect probes of `a` but not direct ones. If `a` still receives packets
    from `b`, those from `a` to `b` get lost; if neither receives packets from the other, the link is cut both ways.
    """
    reports = {
        (row.reporter, name): still_receives for row in rows.values() for name, still_receives in row.unreachable
    }
    lines: dict[tuple[str, str], str] = {}
    for (reporter, target), still_receives in reports.items():
        pair = (min(reporter, target), max(reporter, target))
        target_still_receives = reports.get((target, reporter))
        if target_still_receives is None:
            lines[pair] = (
                f"{reporter} -> {target} lost" if still_receives else f"{reporter} gets no answer from {target}"
            )
        elif still_receives and target_still_receives:
            lines[pair] = f"{pair[0]} <-> {pair[1]} lossy"
        elif still_receives or target_still_receives:
            lines[pair] = f"{reporter} -> {target} lost" if still_receives else f"{target} -> {reporter} lost"
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

    def record_direct_answer(self, view: View, entry: MemberEntry) -> None:
        """Record that a member answered a direct probe: its link works both ways."""
        if not entry.missed_probes:
            return
        reported = entry.missed_probes >= self.settings.link_tries
        entry.missed_probes = 0
        if reported:
            self._publish_own(view)

    def record_indirect_answer(self, view: View, entry: MemberEntry, now: float) -> bool:
        """Record that a member answered an indirect probe only.

        Returns whether it should be probed again soon, as the direct probe may have been lost by chance.
        """
        if not entry.missed_probes:
            entry.first_missed_at = now
        entry.missed_probes += 1
        if entry.missed_probes == self.settings.link_tries:
            self._publish_own(view)
        return entry.missed_probes < self.settings.link_tries

    def record_packet(self, view: View, entry: MemberEntry) -> None:
        """Record a packet from a member that does not answer direct probes: its link works in this direction."""
        if (
            entry.missed_probes >= self.settings.link_tries
            and self._received_since_first_miss(entry)
            and (entry.update.name, True) not in self.rows[self.self_id].unreachable
        ):
            self._publish_own(view)

    def remove(self, view: View, name: str) -> None:
        """Drop the row of a member that failed, left or has a new incarnation, and its entry in ours."""
        view.hash ^= row_hash(self.rows.pop(name, None))
        entry = view.entries.get(name)
        if entry is not None:
            self.record_direct_answer(view, entry)

    def merge(self, view: View, row: ReachabilityRow) -> None:
        """Store the row of another member if it is newer than the known one."""
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
        """Return absent members whose packets still arrive: packets from us, or from any member, do not reach them."""
        return [
            name
            for name, entry in view.entries.items()
            if not entry.present
            and now - entry.since > ONE_WAY_SETTLE_MS
            and now - entry.last_packet_at < ONE_WAY_RECENT_PACKET_MS
        ]

    def _received_since_first_miss(self, entry: MemberEntry) -> bool:
        return entry.last_packet_at > entry.first_missed_at + self.settings.direct_max_ms

    def _publish_own(self, view: View) -> None:
        """Rebuild our row and disseminate it."""
        unreachable = [
            (name, self._received_since_first_miss(entry))
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
        self.since: dict[str, float] = {}  # by member: when the difference was first seen, ms
        self.lasting: set[str] = set()  # returned by `take_lasting`, and still different

    def compare(self, now: float, name: str, same: bool) -> bool:
        """Record whether a member's view hash equals ours; true once it has differed for `differ_ms`."""
        if same:
            self.clear(name)
            return False
        return now - self.since.setdefault(name, now) >= self.settings.differ_ms

    def clear(self, name: str) -> None:
        """Remove a member whose view no longer differs, or which is absent."""
        self.since.pop(name, None)
        self.lasting.discard(name)

    def take_lasting(self, now: float, view: View) -> list[str]:
        """Return members whose views have differed for `disagree_ms`, each once until its view is the same again."""
        names = []
        for name, since in list(self.since.items()):
            entry = view.entries.get(name)
            if entry is None or not entry.present or now - entry.last_packet_at > self.settings.disagree_ms:
                self.clear(name)
            elif now - since >= self.settings.disagree_ms and name not in self.lasting:
                self.lasting.add(name)
                names.append(name)
        return names
