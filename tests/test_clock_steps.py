"""Steps of the system clock while the server runs: no deadline moves, and no request is lost."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until

FETCH_TIMEOUT_MS = 2700  # `give_up_ms` of the class "fetch" in the settings of the fakes
MAX_DELAY_MS = 250  # how late an answer may come after its deadline

STEPPING_CLOCK = """import os, runpy, signal, sys, time
sys.path.insert(0, os.getcwd())
wall, step_s = time.time, 0.0
time.time = lambda: wall() + step_s
def step(*_):
    global step_s
    step_s = {step_s}
    os.write(1, b'{{"event": "clock set"}}\\n')
signal.signal(signal.SIGUSR2, step)
sys.argv[:] = ["myrtlespar"]
runpy.run_module("myrtlespar", run_name="__main__")
"""


def step_clock(running: ServerProcess) -> None:
    """Set the clock of the server process."""
    running.process.send_signal(signal.SIGUSR2)
    until(lambda: running.event("clock set"))


@pytest.mark.parametrize("step_s", [-600.0, 600.0, -2.0, 2.0])
def test_requests_before_and_after_a_step_of_the_clock_are_answered_in_time(tmp_path: Path, step_s: float) -> None:
    start = tmp_path / "stepping.py"
    start.write_text(STEPPING_CLOCK.format(step_s=step_s))
    with server_process(tmp_path, start=str(start)) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("fetch", b"calls=1")[0] == "success"
        in_flight = client.send("order", b"ms=1500 calls=1")
        until(lambda: len(running.dependency.calls) == 2)
        running.dependency.script = ["hang"]
        without_reply = client.send("fetch", b"calls=1")
        until(lambda: len(running.dependency.calls) == 3)
        stepped_at_ms = time.time() * 1000
        step_clock(running)
        stamp = str(int((time.time() + step_s) * 1000))
        assert client.ask("order", b"calls=1", t0=stamp)[0] == "success"
        assert client.answer(in_flight)[0] == "success"
        assert client.answer(without_reply)[0] in ("failed", "refused", "success")
        assert client.times[without_reply] - stepped_at_ms < FETCH_TIMEOUT_MS + MAX_DELAY_MS
        assert len(running.registry.reports) >= 2
        assert running.stop() == 0
