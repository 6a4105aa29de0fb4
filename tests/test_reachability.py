"""Which links are reported as broken from the members' reachability rows."""

from __future__ import annotations

from myrtlespar.membership.messages import ReachabilityRow
from myrtlespar.membership.reachability import broken_links


def test_reachability_rows_name_broken_links() -> None:
    def row(reporter: str, *unreachable: tuple[str, bool]) -> ReachabilityRow:
        return ReachabilityRow(reporter, 1, 1, unreachable)

    assert broken_links({"a": row("a", ("b", True)), "b": row("b", ("a", False))}) == ["a -> b lost"]
    assert broken_links({"a": row("a", ("b", False)), "b": row("b", ("a", False))}) == ["a <-> b cut"]
    assert broken_links({"a": row("a", ("b", False))}) == ["a gets no answer from b"]
    assert broken_links({"a": row("a")}) == []
