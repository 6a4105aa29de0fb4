"""Disagreement in the open: what each member says it can't reach directly, read as a matrix; whose view differs."""

from __future__ import annotations

from collections.abc import Mapping

from myrtlespar.membership.dissemination import Dissemination
from myrtlespar.membership.messages import ReachabilityRow
from myrtlespar.membership.settings import MembershipSettings
from myrtlespar.membership.view import MemberEntry, View, row_stamp


def broken(rows: Mapping[str, ReachabilityRow]) -> list[str]:
    """The links that members' rows name as broken, one line each, in order of names.

    A row holds only what fails: `a` gets no direct answer from `b`, though helpers do. If `a` still hears `b`, what
    `a` sends gets lost; if neither hears the other, the pair is cut both ways.
    """
    said = {(row.reporter, name): hears for row in rows.values() for name, hears in row.unreachable}
    out: dict[tuple[str, str], str] = {}
    for (a, b), hears in said.items():
        pair = (min(a, b), max(a, b))
        back = said.get((b, a))
        if back is None:
            out[pair] = f"{a} -> {b} lost" if hears else f"{a} gets no answer from {b}"
        elif hears and back:
            out[pair] = f"{pair[0]} <-> {pair[1]} lossy"
        elif hears or back:
            out[pair] = f"{a} -> {b} lost" if hears else f"{b} -> {a} lost"
        else:
            out[pair] = f"{pair[0]} <-> {pair[1]} cut"
    return [out[pair] for pair in sorted(out)]


class ReachabilityMatrix:
    """One's own row and those of the others."""

    def __init__(self, me: str, boot: int, terms: MembershipSettings, spread: Dissemination) -> None:
        self.me, self.boot, self.terms, self.spread = me, boot, terms, spread
        self.rows: dict[str, ReachabilityRow] = {}
        self._no = 0

    def direct(self, view: View, entry: MemberEntry) -> None:
        """It answered us directly."""
        if entry.missed:
            named, entry.missed = entry.missed >= self.terms.link_tries, 0
            if named:
                self.tell(view)

    def hears(self, view: View, entry: MemberEntry) -> None:
        """A packet of itself came: if we named its link as broken, one way works."""
        if (
            entry.missed >= self.terms.link_tries
            and self._heard(entry)
            and (entry.update.name, True) not in self.rows[self.me].unreachable
        ):
            self.tell(view)

    def _heard(self, entry: MemberEntry) -> bool:
        return entry.heard > entry.missing + self.terms.direct_max_ms

    def helped(self, view: View, entry: MemberEntry, now: float) -> bool:
        """It answered others only. Whether it should be probed again soon, to see if that was chance."""
        if not entry.missed:
            entry.missing = now
        entry.missed += 1
        if entry.missed == self.terms.link_tries:
            self.tell(view)
        return entry.missed < self.terms.link_tries

    def lost(self, view: View, name: str) -> None:
        """It is no longer here: nothing is said of its links, by it or by us."""
        view.hash ^= row_stamp(self.rows.pop(name, None))
        entry = view.entries.get(name)
        if entry is not None:
            self.direct(view, entry)

    def tell(self, view: View) -> None:
        """Tell our row anew. We hear one if something of it came since its direct answers ended."""
        cannot = [
            (name, self._heard(entry))
            for name, entry in view.entries.items()
            if entry.here and entry.missed >= self.terms.link_tries
        ]
        self._no += 1
        self._put(view, ReachabilityRow(self.me, self.boot, self._no, tuple(cannot[: self.terms.cannot])))

    def _put(self, view: View, row: ReachabilityRow) -> None:
        view.hash ^= row_stamp(self.rows.get(row.reporter)) ^ row_stamp(row)
        self.rows[row.reporter] = row
        self.spread.put_row(row)

    def heard(self, view: View, row: ReachabilityRow) -> None:
        """Another's row; the newest of each counts."""
        known, entry = self.rows.get(row.reporter), view.entries.get(row.reporter)
        if (
            entry is not None
            and entry.here
            and row.incarnation >= entry.update.incarnation
            and (known is None or (row.incarnation, row.version) > (known.incarnation, known.version))
        ):
            self._put(view, row)

    def one_way(self, view: View, now: float) -> list[str]:
        """Members taken for failed that we hear all the same: they don't hear us, or we are heard by none."""
        return [
            name
            for name, entry in view.entries.items()
            if not entry.here and now - entry.since > 3000 and now - entry.heard < 2000
        ]


class ViewDivergence:
    """Whose view's hash is not ours, and since when."""

    def __init__(self, terms: MembershipSettings) -> None:
        self.terms = terms
        self.since: dict[str, float] = {}
        self.lasting: set[str] = set()

    def compare(self, now: float, name: str, same: bool) -> bool:
        """One packet's hash. Whether it has differed for so long that whole views should be exchanged."""
        if same:
            self.end(name)
            return False
        return now - self.since.setdefault(name, now) >= self.terms.differ_ms

    def end(self, name: str) -> None:
        """No difference, or no longer of interest."""
        self.since.pop(name, None)
        self.lasting.discard(name)

    def look(self, now: float, view: View) -> list[str]:
        """Those whose difference has just become a lasting disagreement."""
        out = []
        for name, since in list(self.since.items()):
            known = view.entries.get(name)
            if known is None or not known.here or now - known.heard > self.terms.disagree_ms:
                self.end(name)
            elif now - since >= self.terms.disagree_ms and name not in self.lasting:
                self.lasting.add(name)
                out.append(name)
        return out
