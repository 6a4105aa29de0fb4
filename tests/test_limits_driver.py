"""The driver of fleet limits in one process."""

from __future__ import annotations

from pathlib import Path

from myrtlespar.fleet.limits_driver import LimitsDriver
from myrtlespar.fleet.limits_port import MAX_QUEUED_PER_CALLER
from myrtlespar.fleet.settings import read_fleet
from myrtlespar.runtime.counters import Counters


class DisconnectedTransport:
    """A peer transport that loses every datagram."""

    def __init__(self) -> None:
        self.handlers: dict[bytes, object] = {}

    def send(self, to: str, data: bytes) -> None:
        """Lose the datagram."""


def test_one_caller_s_waiting_requests_are_bounded_and_leave_the_others_capacity_to_wait(tmp_path: Path) -> None:
    path = tmp_path / "fleet.yaml"
    path.write_text(
        "fleet: f\nsite: a\nname: a1\nbind: 127.0.0.1:7100\nelectorate: {version: 1, sites: {a: [a1]}}\n"
        "limits: {x: {per_s: 1, standing: 1.0}}\nrepeats: {share: 0.5, burst: 2}"
    )
    counters = Counters()
    driver = LimitsDriver(read_fleet(str(path), "a1"), ["order"], DisconnectedTransport(), counters, 1)  # type: ignore[arg-type]
    driver.start(1)
    port = driver.port
    assert driver.coordinator is not None
    assert port.admit("early", 0, 1) > 0
    driver.coordinator.grant_holder.started_at -= 5000
    assert port.admit("0", 0, 1) == 0.0
    for number in range(MAX_QUEUED_PER_CALLER):
        assert 0 < port.admit(f"{number + 1}", 0, 1) < float("inf")
        port.enqueue(f"{number + 1}", float(number))
    assert port.admit("more", 0, 1) == float("inf")
    assert 0 < port.reject("more", float("inf")) < 60_000
    assert port.admit("other", 0, 2) < float("inf")
    assert counters.report()["limits.line_full"] == 1
    port.release("1")
    assert port.admit("again", 0, 1) < float("inf")
    assert not port.take_ready()
    assert port.next_ready_ms() < 2000
    assert [port.record_attempt(True) for _ in range(3)] == [True, True, False]
    assert not port.may_retry()
    driver.retire()
