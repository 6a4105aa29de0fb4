"""Two events at the same moment, forced by stopping the process while both occur (see docs/race-conditions.md)."""

from __future__ import annotations

import contextlib
import signal
import socket
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, until
from myrtlespar.fakes.scripted_engine import ScriptedEngine


@contextlib.contextmanager
def stopped(server: ServerProcess) -> Iterator[None]:
    """Stop the process for the duration of the block; it then finds all events of the block at once."""
    server.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{server.process.pid}/stat")
    until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")
    yield
    server.process.send_signal(signal.SIGCONT)


def reset(client: ThriftClient) -> None:
    """End a connection with a reset, even if input is unread."""
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.shutdown(socket.SHUT_RD)  # wakes the reader thread, which keeps the descriptor open
    client.ended.wait(20)
    client.sock.close()


@dataclass
class RequestScenario:
    """One request, with the processes and clients that take part in it."""

    server: ServerProcess
    engine: ScriptedEngine
    first: ThriftClient
    second: ThriftClient
    seq: int = 0
    repeat: int = 0  # sequence number of a second attempt over the second client

    def send(self) -> None:
        """Send the request over the first client."""
        self.seq = self.first.send("booking", b"it", token="ee")

    def cause_first(self, first_event: str) -> None:
        """Cause the first event."""
        if first_event == "request":
            self.send()
        elif first_event == "call":
            self.engine.ask(b"it")
            self.engine.send_next_notice()
        else:
            self.engine.end(b"it", "PASS")
            self.engine.send_next_notice()

    def cause_second(self, second_event: str) -> None:
        """Cause the second event, which coincides with the first."""
        if second_event == "abort":
            self.first.send_message("abort", seqid=self.seq)
        elif second_event == "reset":
            reset(self.first)
        elif second_event == "half close":
            self.first.sock.shutdown(socket.SHUT_WR)
        elif second_event == "link cut":
            self.engine.passes_everything = True
            assert self.engine.link is not None
            self.engine.cut(self.engine.link)
        elif second_event == "repeat":
            self.repeat = self.second.send("booking", b"it", token="ee", again="1")
        else:
            self.server.process.send_signal(signal.Signals[second_event])

    def allowed_answers(self, first_event: str, second_event: str) -> set[str]:
        """Return the kinds of answers that the request may get."""
        if (first_event, second_event) == ("request", "link cut") and not self.engine.starts_by_body[b"it"]:
            return {"failed"}  # the start was sent on the link that was cut: it is lost and never sent again
        return {"success", "refused"} if second_event == "SIGTERM" else {"success"}


@pytest.mark.parametrize("second_event", ["abort", "reset", "half close", "link cut", "SIGTERM", "SIGHUP", "repeat"])
@pytest.mark.parametrize("first_event", ["result", "call", "request"])
def test_two_simultaneous_events_leave_one_answer_and_one_run(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient], first_event: str, second_event: str
) -> None:
    server, engine, client = scripted
    first = ThriftClient(server.ports[0])
    scenario = RequestScenario(server, engine, first, client)
    if first_event != "request":
        scenario.send()
        until(engine.read)
    with stopped(server):
        scenario.cause_first(first_event)
        scenario.cause_second(second_event)
    engine.release_all()  # from now on the engine handles commands by itself, and runs end
    if second_event not in ("abort", "reset"):
        finish(engine, lambda: scenario.seq in first.answers)
        assert first.answer(scenario.seq)[0] in scenario.allowed_answers(first_event, second_event)
    if second_event == "repeat":
        finish(engine, lambda: scenario.repeat in client.answers)
        assert client.answer(scenario.repeat)[0] == "success"
    if second_event != "SIGTERM":
        last = ThriftClient(server.ports[0])  # a new connection, as one that never sent anything may be closed
        after = last.send("tide", b"after")
        finish(engine, lambda: after in last.answers)
        assert last.answer(after)[0] == "success"
    assert server.stop() == 0
    counts = until(lambda: server.event("counters"))
    assert not [name for name in counts if name.startswith("impossible")], counts
    assert set(first.count.values()) <= {1}
    assert engine.starts_by_body[b"it"] <= 1


def finish(engine: ScriptedEngine, ready: Callable[[], bool]) -> None:
    """End all runs until `ready` holds."""

    def end_runs() -> bool:
        for rid in list(engine.running):
            engine.end(engine.bodies[rid], "PASS")
        return ready()

    until(end_runs)
