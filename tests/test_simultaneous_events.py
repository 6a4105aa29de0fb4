"""Two events in one moment, forced by stopping the process meanwhile (see docs/race-conditions.md)."""

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
def frozen(server: ServerProcess) -> Iterator[None]:
    """The program stands still meanwhile: all that comes and ends in it is there at once when it goes on."""
    server.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{server.process.pid}/stat")
    until(lambda: stat.read_text().rpartition(")")[2].split()[0] == "T")
    yield
    server.process.send_signal(signal.SIGCONT)


def reset(client: ThriftClient) -> None:
    """End a connection with a reset, whatever is unread."""
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.shutdown(socket.SHUT_RD)  # wakes its reader, which holds the descriptor
    client.ended.wait(20)
    client.sock.close()


@dataclass
class Scene:
    """One request and all that takes part in it."""

    server: ServerProcess
    engine: ScriptedEngine
    first: ThriftClient
    second: ThriftClient
    seq: int = 0
    repeat: int = 0  # sequence number of a second attempt over the second client

    def send(self) -> None:
        """Send the request over the first client."""
        self.seq = self.first.send("booking", b"it", token="ee")

    def cause(self, what: str) -> None:
        """Cause the first event."""
        if what == "request":
            self.send()
        elif what == "call":
            self.engine.ask(b"it")
            self.engine.send_next_notice()
        else:
            self.engine.end(b"it", "PASS")
            self.engine.send_next_notice()

    def cross(self, other: str) -> None:
        """Cause the event that crosses the first."""
        if other == "abort":
            self.first.send_message("abort", seqid=self.seq)
        elif other == "reset":
            reset(self.first)
        elif other == "half close":
            self.first.sock.shutdown(socket.SHUT_WR)
        elif other == "link cut":
            self.engine.passes_everything = True
            assert self.engine.link is not None
            self.engine.cut(self.engine.link)
        elif other == "repeat":
            self.repeat = self.second.send("booking", b"it", token="ee", again="1")
        else:
            self.server.process.send_signal(signal.Signals[other])

    def allowed_answers(self, what: str, other: str) -> set[str]:
        """Return the answers that the request may get."""
        if (what, other) == ("request", "link cut") and not self.engine.starts_by_body[b"it"]:
            return {"failed"}  # its start went out on the ended link: lost, and never sent again
        return {"success", "refused"} if other == "SIGTERM" else {"success"}


@pytest.mark.parametrize("other", ["abort", "reset", "half close", "link cut", "SIGTERM", "SIGHUP", "repeat"])
@pytest.mark.parametrize("what", ["result", "call", "request"])
def test_two_things_in_one_moment_leave_one_answer_and_one_run(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient], what: str, other: str
) -> None:
    server, engine, client = scripted
    first = ThriftClient(server.ports[0])
    scene = Scene(server, engine, first, client)
    if what != "request":
        scene.send()
        until(engine.read)
    with frozen(server):
        scene.cause(what)
        scene.cross(other)
    engine.release_all()  # from now on all passes, and what runs ends
    if other not in ("abort", "reset"):
        finish(engine, lambda: scene.seq in first.answers)
        assert first.answer(scene.seq)[0] in scene.allowed_answers(what, other)
    if other == "repeat":
        finish(engine, lambda: scene.repeat in client.answers)
        assert client.answer(scene.repeat)[0] == "success"
    if other != "SIGTERM":
        last = ThriftClient(server.ports[0])  # the one that has said nothing yet may have been closed for that
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
