"""Reports to the service registry, also when it is down, does not answer or answers incorrectly."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from myrtlespar.fakes import (
    ServerProcess,
    server_process,
    until,
)


def test_reports_state_on_then_off_and_survive_a_lost_connection(server: ServerProcess) -> None:
    until(lambda: len(server.registry.reports) >= 2)
    assert server.registry.reports[0] == ("/roster/n3", {"duty": "on"})
    server.registry.cut()
    seen = len(server.registry.reports)
    until(lambda: len(server.registry.reports) > seen)
    server.process.terminate()
    until(lambda: server.registry.reports[-1][1] == {"duty": "off"})


@pytest.mark.parametrize("fault", ["silent", "down", "cut inside", "upgrade", "hangs twice"])
def test_reports_resume_in_time_after_a_fault_of_the_registry(tmp_path: Path, fault: str) -> None:
    with server_process(tmp_path) as running:
        until(lambda: running.registry.reports)
        if fault == "hangs twice":  # on the reused connection, and on the new one after it
            running.registry.hang = 2
            seen = len(running.registry.answered_times)
            until(lambda: len(running.registry.answered_times) > seen + 1)
            assert max(b - a for a, b in itertools.pairwise(running.registry.answered_times)) < 3.0
            return
        running.registry.mode = fault
        running.registry.cut()
        until(lambda: running.counters().get("roster.failed"))
        if fault == "silent":  # each report arrives completely, so the server's entry is kept
            seen = len(running.registry.reports)
            until(lambda: len(running.registry.reports) > seen + 2)
            times = [at for at in running.registry.times[-3:]]
            assert max(b - a for a, b in itertools.pairwise(times)) < 3.0
        running.registry.mode = ""
        until(lambda: running.registry.listed())
