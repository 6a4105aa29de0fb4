"""Two processes of one server together keep its limits on memory, runs and calls while one replaces the other."""

from __future__ import annotations

from typing import Any

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, settings, until
from myrtlespar.handover.reservation_file import (
    FILE_BYTES,
    Reservation,
    decode_reservation,
    encode_reservation,
)
from myrtlespar.policy.server_share import ServerShare
from tests.conftest import HandoverFolders

RUN_KB = 16.0 * 20.0  # memory of a run
MAX_RUNS = 14  # by the concurrency that two cores survive
CALLS_SHARE = 6
REQUESTS = 30
MEMORY_KB = {"memory": 9.5 * RUN_KB, "runs": 200000.0}
LIMITS = {"memory": 9, "runs": MAX_RUNS}  # runs that may be started and not ended
FULL = {"memory": 7, "runs": MAX_RUNS}  # runs of a crowded process, beside which waiting requests take memory too


def given(memory_kb: float) -> dict[str, Any]:
    return {"settings": settings(family_info={**settings()["family_info"], "memory_kb": memory_kb})}


class Server:
    """Both processes of a server, with the greatest number of runs and calls seen."""

    def __init__(self, old: ServerProcess, new: ServerProcess) -> None:
        self.processes = (old, new)
        self.most_runs = 0
        self.most_calls = 0

    def sample(self) -> None:
        self.most_runs = max(self.most_runs, sum(len(process.engine.running) for process in self.processes))
        calls = [len(process.dependency.calls) - len(process.dependency.drops) for process in self.processes]
        self.most_calls = max(self.most_calls, sum(calls))


def crowd(process: ServerProcess) -> ThriftClient:
    """Send a process as many requests as it can take; their runs wait at calls that are never answered."""
    process.dependency.script = ["hang"] * 1000
    client = ThriftClient(process.ports[0])
    for number in range(REQUESTS):
        client.send("fetch", b"calls=1 number=%d" % number)
    return client


@pytest.mark.parametrize("limit", ["memory", "runs"])
@pytest.mark.parametrize("end", ["serving", "replaced", "killed"])
def test_two_processes_together_keep_the_limits_of_their_server(
    handover_folders: HandoverFolders, limit: str, end: str
) -> None:
    """Guards against a replacement that fills the memory, or the cores, a second time beside the old process."""
    more = {"mgmt": True, "shared": handover_folders.shared, "given": given(MEMORY_KB[limit])}
    with server_process(handover_folders.old, **more) as old:
        crowd(old)
        until(lambda: len(old.engine.running) >= FULL[limit], "a full old process")
        with server_process(handover_folders.new, **more) as new:
            server = Server(old, new)
            if end == "replaced":
                old.process.terminate()
            elif end == "killed":  # the engine goes on with its runs
                old.process.kill()
            client = crowd(new)

            def are_answered() -> bool:
                server.sample()
                return len(client.answers) == REQUESTS

            until(are_answered, "answers")
            assert server.most_runs <= LIMITS[limit]
            assert server.most_calls <= CALLS_SHARE


def test_a_replacement_beside_an_idle_process_serves_at_once(handover_folders: HandoverFolders) -> None:
    more = {"mgmt": True, "shared": handover_folders.shared, "given": given(MEMORY_KB["runs"])}
    with server_process(handover_folders.old, **more), server_process(handover_folders.new, **more) as new:
        assert ThriftClient(new.ports[0]).ask("fetch")[0] == "success"


def test_a_process_uses_everything_again_once_its_replacement_has_ended(handover_folders: HandoverFolders) -> None:
    more = {"mgmt": True, "shared": handover_folders.shared, "given": given(MEMORY_KB["runs"])}
    with server_process(handover_folders.old, **more) as old:
        with server_process(handover_folders.new, **more):
            pass
        crowd(old)
        until(lambda: len(old.engine.running) > MAX_RUNS - 2, "more runs than half of the limit")


def test_a_record_that_is_incomplete_or_invalid_is_not_used() -> None:
    reservation = Reservation(True, ServerShare(1.0, 0.5, 3.0, 1.5), 0.5, 0.25)
    data = encode_reservation(reservation)
    assert len(data) == FILE_BYTES
    assert decode_reservation(data) == reservation
    for length in range(FILE_BYTES):
        assert decode_reservation(data[:length]) is None
        assert decode_reservation(data[:length] + bytes([data[length] ^ 1]) + data[length + 1 :]) is None
    assert decode_reservation(encode_reservation(Reservation(True, ServerShare(float("nan")), 0.0, 0.0))) is None
