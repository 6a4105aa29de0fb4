"""Runs whose end is never reported release their capacity."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import ThriftClient, server_process, settings, until
from myrtlespar.fakes.upstreams import FakeEngine
from myrtlespar.state_machines.lost_runs import LostRunDetector


def test_runs_are_lost_once_the_surplus_lasted_for_the_whole_window() -> None:
    detector = LostRunDetector(1000.0)
    assert [detector.count_lost(now, 5, 2.0) for now in (0.0, 500.0, 999.0)] == [0, 0, 0]
    assert detector.count_lost(1000.0, 6, 4.5) == 1  # the smallest surplus of all checks
    assert detector.count_lost(1500.0, 6, 4.0) == 0
    assert detector.count_lost(2000.0, 6, 6.0) == 0
    assert detector.count_lost(2100.0, 6, 4.0) == 0
    assert detector.count_lost(2200.0, 6, None) == 0
    assert detector.count_lost(3150.0, 6, 4.0) == 0
    assert detector.count_lost(4150.0, 6, 4.0) == 2


@pytest.mark.parametrize("gauges", [["cpu_busy", "runnable", "mem_used", "sockets"], ["cpu_busy"]])
def test_runs_that_the_engine_lost_release_their_capacity(tmp_path: Path, gauges: list[str]) -> None:
    """Guards against lost runs that occupy all the capacity, so that every request is rejected as in a hang."""

    class EngineWithRunnableGauge(FakeEngine):
        def sysinfo(self, link: Any, command: dict[str, Any]) -> None:
            values = {"runnable": float(len(self.running))}
            self.send_line(
                link, {"t": "INFO", "mark": command["mark"], "v": [values.get(name, 0.1) for name in gauges]}
            )

    given = settings()
    given["classes"] = [{"name": "fetch", "effect": "free", "aim_ms": 400, "give_up_ms": 800}]
    given["family_info"] |= {"gauges": gauges, "cores": 1}
    with server_process(tmp_path, engine=EngineWithRunnableGauge(), given={"settings": given}) as running:
        client = ThriftClient(running.ports[0])
        assert [client.ask("fetch", b"ms=1")[0] for _ in range(30)] == ["success"] * 30
        lost = client.send("fetch", b"ms=60000")
        until(lambda: running.engine.running)
        running.engine.running.clear()  # the engine lost the run, and will never report its end
        assert client.answer(lost)[0] == "failed"
        began = time.monotonic()
        until(lambda: client.ask("fetch", b"ms=1")[0] == "success", "room for another run")
        assert time.monotonic() - began < 4.0
        assert running.counters()["run.lost"] == 1


def test_runs_that_the_engine_lost_at_a_dependency_call_are_abandoned(tmp_path: Path) -> None:
    """Guards against a leak of memory by runs at a call: the engine ends them, but the report of the end is lost."""
    given = settings()
    given["classes"] = [{"name": "order", "effect": "single_shot", "aim_ms": 400, "give_up_ms": 600}]
    with server_process(tmp_path, given={"settings": given}) as running:
        client = ThriftClient(running.ports[0])
        running.dependency.script = ["hang"]
        assert client.ask("order", b"calls=1")[0] == "failed"
        until(lambda: running.counters().get("run.lost") == 1, "the run counted as lost")
        assert client.ask("order", b"calls=1")[0] == "success"
