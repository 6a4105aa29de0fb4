"""Reports to the service registry, also when it is down, silent or answers anything else."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    server_process,
    until,
)


def test_the_registry_hears_on_then_off_and_may_be_away(server: ServerProcess) -> None:
    until(lambda: len(server.roster.reports) >= 2)
    assert server.roster.reports[0] == ("/roster/n3", {"duty": "on"})
    server.roster.cut()
    seen = len(server.roster.reports)
    until(lambda: len(server.roster.reports) > seen)
    server.process.terminate()
    until(lambda: server.roster.reports[-1][1] == {"duty": "off"})


@pytest.mark.parametrize("fault", ["silent", "down", "cut inside", "upgrade", "hangs twice"])
def test_a_list_that_goes_quiet_hears_of_us_in_time_once_it_listens(tmp_path: Path, fault: str) -> None:
    with server_process(tmp_path) as running:
        until(lambda: running.roster.reports)
        if fault == "hangs twice":  # on the connection that was kept, and on the new one after it
            running.roster.hang = 2
            seen = len(running.roster.taken)
            until(lambda: len(running.roster.taken) > seen + 1)
            assert max(b - a for a, b in itertools.pairwise(running.roster.taken)) < 3.0
            return
        running.roster.mode = fault
        running.roster.cut()
        until(lambda: running.counters().get("roster.failed"))
        if fault == "silent":  # each of its reports arrives whole, so it stays on the list
            seen = len(running.roster.reports)
            until(lambda: len(running.roster.reports) > seen + 2)
            times = [at for at in running.roster.times[-3:]]
            assert max(b - a for a, b in itertools.pairwise(times)) < 3.0
        running.roster.mode = ""
        until(lambda: running.roster.listed())
