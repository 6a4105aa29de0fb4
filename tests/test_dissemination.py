"""Updates are disseminated a bounded number of times."""

from __future__ import annotations

from myrtlespar.membership.dissemination import Dissemination
from myrtlespar.membership.messages import ALIVE
from tests.membership_builders import SETTINGS, update_of


def test_each_update_is_sent_a_bounded_number_of_times() -> None:
    dissemination = Dissemination(SETTINGS)
    for n in range(20):
        dissemination.put(update_of(f"m{n}", 1, 0, ALIVE), 0.0)
    sent_count = 0
    for _ in range(1000):
        updates, _ = dissemination.pick(1.0, 24, 1000)
        assert len(updates) <= SETTINGS.carry
        sent_count += len(updates)
    assert sent_count == 20 * dissemination.max_times_sent(24)
    assert len(dissemination) == 0
