"""Quorum status and changes of the voter set."""

from __future__ import annotations

from myrtlespar.membership.quorum import QuorumStatus, VoterSet, quorum_status, voter_set_change_error


def test_the_quorum_status_counts_voters() -> None:
    assert [quorum_status(9, n, n - 1) for n in (1, 2, 4, 5, 8, 9)] == [
        QuorumStatus.ALONE,
        QuorumStatus.MINORITY,
        QuorumStatus.MINORITY,
        QuorumStatus.MAJORITY,
        QuorumStatus.MAJORITY,
        QuorumStatus.WHOLE,
    ]
    assert quorum_status(8, 4, 3) == QuorumStatus.MINORITY  # an even split leaves no majority
    assert quorum_status(0, 0, 0) == QuorumStatus.ALONE  # an empty voter set has no majority
    three = VoterSet(3, {"x": ("a", "b", "c")})
    assert voter_set_change_error(three, VoterSet(4, {"x": ("a", "b", "c", "d")})) == ""
    assert "more than one" in voter_set_change_error(three, VoterSet(4, {"x": ("a", "d", "c")}))
    assert "does not follow" in voter_set_change_error(three, VoterSet(3, {"x": ("a", "b")}))
