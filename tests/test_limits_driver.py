"""The driver of the fleet's limits in one process."""

from __future__ import annotations

from pathlib import Path

import gevent

from myrtlespar.fakes import until
from myrtlespar.fleet.limits_driver import LimitsDriver
from myrtlespar.fleet.limits_port import MAX_QUEUED_PER_CALLER
from myrtlespar.fleet.settings import read_fleet
from myrtlespar.quota.lease import Incarnation
from myrtlespar.quota.limit_coordinator import LimitCoordinator
from myrtlespar.quota.settings import GrantSettings, Limit
from myrtlespar.runtime.counters import Counters


class DisconnectedTransport:
    """A peer transport that drops every datagram."""

    def __init__(self) -> None:
        self.handlers: dict[bytes, object] = {}

    def send(self, to: str, data: bytes) -> None:
        """Drop the datagram."""


def test_the_queued_requests_of_one_caller_are_bounded_and_do_not_keep_others_from_queueing(tmp_path: Path) -> None:
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


def test_a_change_rejected_before_the_current_version_is_settled_is_read_again_once_it_is(tmp_path: Path) -> None:
    path = tmp_path / "fleet.yaml"
    text = (
        "fleet: f\nsite: a\nname: a1\nbind: 127.0.0.1:7100\nelectorate: {version: 1, sites: {a: [a1, a2, a3]}}\n"
        "limits_version: %d\nlimits: {x: {per_s: %d, before: 9}}\n"
    )
    path.write_text(text % (1, 9))
    reloads: list[str] = []
    driver = LimitsDriver(
        read_fleet(str(path), "a1"),
        ["order"],
        DisconnectedTransport(),  # type: ignore[arg-type]
        Counters(),
        1,
        reload=lambda: reloads.append(driver.adopt(read_fleet(str(path), "a1"))),
    )
    driver.start(1)
    assert driver.coordinator is not None
    path.write_text(text % (2, 6))
    assert driver.adopt(read_fleet(str(path), "a1")).startswith("limits_version: version 1 is not yet known")
    gevent.sleep(0.5)  # more than one tick: the file is not read again before the version is settled
    assert not reloads
    driver.coordinator.versions.settle()
    until(lambda: gevent.sleep(0.01) or reloads)
    assert reloads == [""]
    assert driver.coordinator.version == 2
    gevent.sleep(0.5)
    assert reloads == [""]
    driver.retire()


def test_a_leader_announces_the_previous_version_while_its_own_is_not_settled() -> None:
    coordinator = LimitCoordinator(
        Incarnation("a", 1), GrantSettings(), {"x": Limit(per_s=9.0)}, frozenset(("a", "b")), 0.0
    )
    versions = coordinator.versions
    assert versions.settled_version(0.0) == 0
    versions.record(0.0, "b", 1)
    later = versions.longest_grant_wait_ms()
    assert versions.settled_version(later) == 1
    versions.settle_if_due(later)
    coordinator.adopt_limits(later, {"x": Limit(per_s=6.0, before=9.0)}, 2)
    assert versions.settled_version(later) == 1
    versions.record(later, "b", 2)
    assert versions.settled_version(3 * later) == 2


def test_a_leader_announces_no_previous_version_that_was_not_settled() -> None:
    coordinator = LimitCoordinator(
        Incarnation("a", 1), GrantSettings(), {"x": Limit(per_s=9.0)}, frozenset(("a", "b")), 0.0
    )
    coordinator.adopt_limits(100.0, {"x": Limit(per_s=6.0, before=9.0)}, 2)
    assert coordinator.versions.settled_version(100.0) == 0
