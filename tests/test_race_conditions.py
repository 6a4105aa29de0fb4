"""Requests, answers, ends and signals that cross each other, forced by the stand-ins.

`docs/race-conditions.md` lists them.
"""

import contextlib
import itertools
import json
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from myrtlespar.fakes import FakeEngine, ServerProcess, ThriftClient, server_process, until
from myrtlespar.fakes.scripted_engine import ScriptedEngine
from myrtlespar.net.codec.thrift import encode, idl
from tests.sites import GUARDED, classes


@pytest.fixture
def scripted(tmp_path: Path) -> Iterator[tuple[ServerProcess, ScriptedEngine, ThriftClient]]:
    """A program whose kernel does only what the test says, and one client."""
    kernel = ScriptedEngine()
    with server_process(tmp_path, kernel=kernel, given=GUARDED) as running:
        until(kernel.hear)  # that it is up
        until(lambda: running.event("kernel up"))
        yield running, kernel, ThriftClient(running.ports[0])


def runs_of(kernel: ScriptedEngine, body: bytes) -> int:
    return kernel.by_body[body]


@pytest.mark.parametrize("when", ["running", "at a call", "ended", "gone", "failed"])
def test_a_guarded_try_that_returns_never_runs_again(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient], when: str
) -> None:
    server, kernel, client = scripted
    first = client.send("booking", b"seat 1", token="aa")
    until(kernel.read)  # its start
    if when == "at a call":
        server.store.script = ["hang"]
        kernel.ask(b"seat 1")
        until(kernel.hear)
        until(lambda: server.store.calls)
    if when in ("ended", "failed"):
        kernel.end(b"seat 1", "PASS" if when == "ended" else "FAIL")
        until(kernel.hear)
        client.answer(first)
    if when == "gone":
        client.say("abort", seqid=first)
        assert client.answer(client.say("ping", full=False))  # read behind it, so it was taken
    other = ThriftClient(server.ports[0])
    repeat = other.send("booking", b"seat 1", token="aa", again="1")
    assert other.answer(other.say("ping", full=False))
    if when not in ("ended", "failed"):
        assert repeat not in other.answers  # it waits for the one run
        server.store.cut()
        kernel.end(b"seat 1", "PASS")
        until(kernel.hear)
    kind, answer = other.answer(repeat)
    assert kind == ("failed" if when == "failed" else "success")
    assert when == "failed" or answer.body == b"result of seat 1"
    assert runs_of(kernel, b"seat 1") == 1
    assert not kernel.read()


def test_a_guarded_try_that_never_began_may_run_and_one_without_its_token_may_not(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient],
) -> None:
    server, kernel, client = scripted
    first = client.send("booking", b"seat 2", token="bb")
    until(kernel.read)
    client.say("abort", seqid=first)
    kernel.end(b"seat 2", "NOOP")  # the kernel heard of the departure first: nothing was started
    until(kernel.hear)
    repeat = client.send("booking", b"seat 2", token="bb", again="1")
    until(kernel.read)
    kernel.bodies.pop(next(iter(kernel.bodies)))  # the first try's
    kernel.end(b"seat 2", "PASS")
    until(kernel.hear)
    assert client.answer(repeat)[0] == "success"
    # Somebody else with that token: neither is served the other's result, nor kept from its own run.
    alien = client.send("booking", b"alien", token="bb")
    until(kernel.read)
    assert alien not in client.answers
    assert client.ask("booking", b"seat 3", again="1")[0] == "exception"
    assert client.ask("booking", b"seat 3", token="c" * 201)[0] == "exception"
    assert not runs_of(kernel, b"seat 3")
    assert server.counters()["in.no_token.thrift"] == 1


@pytest.mark.parametrize("sent", ["SIGTERM", "SIGHUP", "SIGINT", "SIGUSR1"])
@pytest.mark.parametrize("moment", ["early", "import", "config", "listen"])
def test_a_signal_at_any_moment_of_the_start_neither_kills_nor_is_lost(tmp_path: Path, sent: str, moment: str) -> None:
    """The signal is raised by the process itself, at a line of its start."""
    hooks = {
        "early": "import myrtlespar.runtime.startup_signals as e; old = e.StartupSignals.__init__\n"
        "def at(s): old(s); raise_()\ne.StartupSignals.__init__ = at",
        "import": "sys.meta_path.insert(0, type('F', (), {'find_spec': staticmethod(\n"
        "    lambda name, *a: raise_() if name == 'myrtlespar.server.main' else None)}))",
        "config": "import myrtlespar.runtime.startup_signals as e; old = e.StartupSignals.__init__\n"
        "def at(s):\n    old(s)\n    import myrtlespar.server.main as v; load = v.load\n"
        "    def late(): c = load(); raise_(); v.load = load; return c\n    v.load = late\n"
        "e.StartupSignals.__init__ = at",
        "listen": "import myrtlespar.net.listener as n; old = n.Listener.start\n"
        "def at(s): raise_(); old(s)\nn.Listener.start = at",
    }
    start = (
        "import os, runpy, signal, sys\nsys.path.insert(0, os.getcwd())\n"
        f"def raise_(): os.kill(os.getpid(), signal.{sent})\n{hooks[moment]}\n"
        "sys.argv[:] = ['myrtlespar']\nrunpy.run_module('myrtlespar', run_name='__main__')\n"
    )
    (tmp_path / "started.py").write_text(start)
    with server_process(tmp_path, start=str(tmp_path / "started.py"), wait=False) as running:
        if sent in ("SIGTERM", "SIGINT"):
            until(lambda: running.event("told to leave at the start") or running.event("draining"))
            while running.process.poll() is None:  # again, in its last moments
                running.process.send_signal(signal.Signals[sent])
            assert running.process.wait(20) == 0
        else:
            running.ports = until(lambda: running.event("serving"))["ports"]
            until(lambda: running.event("reloaded" if sent == "SIGHUP" else "counters"))
            assert ThriftClient(running.ports[0]).ask("order", b"x")[0] == "success"


@pytest.mark.parametrize("kernel", ["down", "silent", "late"])
def test_a_notice_before_the_kernel_is_up_answers_all_and_ends_clean(tmp_path: Path, kernel: str) -> None:
    with server_process(tmp_path, late_kernel=True, given={"stop_ms": 1500}) as running:
        if kernel == "down":
            running.kernel.down()
        client = ThriftClient(running.ports[0])
        seqs = [client.send(method, b"ms=5") for method in ("order", "fetch")]
        assert client.answer(client.say("ping", full=False))  # read behind them
        running.process.terminate()
        until(lambda: client.told)
        if kernel == "late":
            running.kernel.up.set()
        kinds = [client.answer(seq)[0] for seq in seqs]
        assert kinds == ["success"] * 2 if kernel == "late" else set(kinds) <= {"failed", "refused"}
        assert running.process.wait(20) == 0
        assert set(client.count.values()) == {1}


def test_a_kernel_that_is_gone_again_before_its_first_word_is_reached_again(tmp_path: Path) -> None:
    kernel = FakeEngine()
    kernel.leaves = 3
    with server_process(tmp_path, kernel=kernel) as running:
        client = ThriftClient(running.ports[0])
        assert client.ask("order", b"held meanwhile")[0] == "success"
        assert not kernel.leaves
        assert kernel.by_body[b"held meanwhile"] == 1
        assert running.stop() == 0


def test_a_client_that_closes_one_direction_gets_all_that_it_asked_for(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient],
) -> None:
    server, kernel, client = scripted
    seqs = [client.send("tide", b"one"), client.send("booking", b"two", token="dd")]
    until(kernel.read)
    until(kernel.read)
    client.sock.sendall(b"\0\0")  # half of a length, which is no request
    client.sock.shutdown(socket.SHUT_WR)
    until(lambda: server.counters().get("in.half_closed.thrift"))
    for body in (b"one", b"two"):
        kernel.end(body, "PASS")
        until(kernel.hear)
    assert [client.answer(seq)[0] for seq in seqs] == ["success"] * 2
    assert client.ended.wait(20)
    assert set(client.count.values()) == {1}


def test_a_reload_of_a_half_written_file_is_named_and_taken_once_it_is_whole(tmp_path: Path) -> None:
    with server_process(tmp_path) as running:
        old = running.kernel
        running.kernel = type(old)()
        text = json.dumps({**running.config, "kernel": running.kernel.address})
        running.path.write_text(text[:-20])
        running.process.send_signal(signal.SIGHUP)
        assert until(lambda: running.event("reload refused"))["error"].startswith("BALANCER_CONFIG: not JSON")
        running.path.write_text(text)
        until(lambda: running.event("reloaded"))
        assert ThriftClient(running.ports[0]).ask("order", b"on the new link")[0] == "success"
        assert running.kernel.by_body[b"on the new link"] == 1
        old.down()


def test_a_reload_in_a_hand_over_moves_the_links_that_its_runs_end_over(tmp_path: Path) -> None:
    with server_process(tmp_path, mgmt=True) as running:
        client = ThriftClient(running.ports[0])
        running.store.script = ["hang"]
        seq = client.send("order", b"calls=1")
        until(lambda: running.store.calls)
        running.process.terminate()
        until(lambda: running.event("handing over"))
        until(lambda: client.told)
        running.kernel.relisten()
        running.config["kernel"] = running.kernel.address
        running.path.write_text(json.dumps(running.config))
        running.process.send_signal(signal.SIGHUP)
        until(lambda: sum(row["event"] == "kernel up" for row in running.log) == 2)
        running.kernel.note(t="REAP", rid=next(iter(running.kernel.running)), status="PASS", time_ms=5, b64="")
        assert client.answer(seq)[0] == "success"
        assert running.process.wait(20) == 0


def test_what_is_taken_last_from_the_queue_is_told_and_answered(tmp_path: Path) -> None:
    """Connections made while the process stands still lie in the accept queue as it closes its listener."""
    with server_process(tmp_path, mgmt=True) as running:
        running.process.send_signal(signal.SIGSTOP)
        clients = [ThriftClient(running.ports[0]) for _ in range(12)]
        seqs = [client.send("order", b"ms=100") for client in clients]
        running.process.terminate()
        running.process.send_signal(signal.SIGCONT)
        assert all(client.answer(seq)[0] == "success" for client, seq in zip(clients, seqs, strict=True))
        assert all(client.ended.wait(20) and client.told == ["shutdown"] for client in clients)
        assert running.process.wait(20) == 0


def test_no_connection_with_a_request_that_just_came_makes_room(tmp_path: Path) -> None:
    with server_process(tmp_path, sockets=64) as running:
        clients = [ThriftClient(running.ports[0]) for _ in range(11)]  # all places
        for client in clients:
            assert client.answer(client.say("ping", full=False))
        for busy in clients[:10:2]:  # each in turn is the idlest, and the one behind it goes
            running.process.send_signal(signal.SIGSTOP)
            new = ThriftClient(running.ports[0])
            seq = busy.send("fetch", b"crosses")
            running.process.send_signal(signal.SIGCONT)
            assert busy.answer(seq)[0] == "success"
            assert new.ask("fetch", b"new")[0] == "success"
        assert running.counters()["in.idle_closed.thrift"] == 5


@pytest.mark.parametrize("again", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_through_the_whole_drain_leave_status_0_beside_a_client_that_does_not_read(
    tmp_path: Path, again: signal.Signals
) -> None:
    with server_process(tmp_path, given={"stop_ms": 700, "settings": classes(("slow", "free", 9000.0))}) as running:
        client = ThriftClient(running.ports[0])
        seq = client.send("slow", b"ms=60000")
        until(lambda: running.kernel.starts)
        deaf = socket.create_connection(("127.0.0.1", running.ports[0]))
        ping = encode("ping", 1, 1, idl.Front.ping_args(full=False))
        with contextlib.suppress(OSError):
            deaf.settimeout(0.5)
            for _ in range(40):
                deaf.sendall(ping * 500)
        running.process.terminate()
        until(lambda: client.told)
        while running.process.poll() is None:  # at every moment of it, its end included
            running.process.send_signal(again)
        assert running.process.returncode == 0
        assert client.answer(seq)[0] == "failed"
        assert client.count[seq] == 1


@pytest.mark.parametrize("roster", ["silent", "down", "cut inside", "upgrade", "hangs twice"])
def test_a_list_that_goes_quiet_hears_of_us_in_time_once_it_listens(tmp_path: Path, roster: str) -> None:
    with server_process(tmp_path) as running:
        until(lambda: running.roster.reports)
        if roster == "hangs twice":  # on the connection that was kept, and on the new one after it
            running.roster.hang, seen = 2, len(running.roster.taken)
            until(lambda: len(running.roster.taken) > seen + 1)
            assert max(b - a for a, b in itertools.pairwise(running.roster.taken)) < 3.0
            return
        running.roster.mode = roster
        running.roster.cut()
        until(lambda: running.counters().get("roster.failed"))
        if roster == "silent":  # each of its reports arrives whole, so it stays on the list
            seen = len(running.roster.reports)
            until(lambda: len(running.roster.reports) > seen + 2)
            times = [at for at in running.roster.times[-3:]]
            assert max(b - a for a, b in itertools.pairwise(times)) < 3.0
        running.roster.mode = ""
        until(lambda: running.roster.listed())


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


@pytest.mark.parametrize("other", ["abort", "reset", "half close", "link cut", "SIGTERM", "SIGHUP", "repeat"])
@pytest.mark.parametrize("what", ["result", "call", "request"])
def test_two_things_in_one_moment_leave_one_answer_and_one_run(
    scripted: tuple[ServerProcess, ScriptedEngine, ThriftClient], what: str, other: str
) -> None:
    server, kernel, client = scripted
    first = ThriftClient(server.ports[0])
    seq = 0
    if what != "request":
        seq = first.send("booking", b"it", token="ee")
        until(kernel.read)
    with frozen(server):
        if what == "request":
            seq = first.send("booking", b"it", token="ee")
        elif what == "call":
            kernel.ask(b"it")
            kernel.hear()
        else:
            kernel.end(b"it", "PASS")
            kernel.hear()
        if other == "abort":
            first.say("abort", seqid=seq)
        elif other == "reset":
            reset(first)
        elif other == "half close":
            first.sock.shutdown(socket.SHUT_WR)
        elif other == "link cut":
            kernel.free = True
            assert kernel.link is not None
            kernel.cut(kernel.link)
        elif other == "repeat":
            second = client.send("booking", b"it", token="ee", again="1")
        else:
            server.process.send_signal(signal.Signals[other])
    kernel.let_go()  # from now on all passes, and what runs ends
    if other not in ("abort", "reset"):
        finish(kernel, lambda: seq in first.answers)
        allowed = {"success"} | ({"refused"} if other == "SIGTERM" else set())
        if (what, other) == ("request", "link cut") and not kernel.by_body[b"it"]:
            allowed = {"failed"}  # its start went out on the ended link: lost, and never sent again
        assert first.answer(seq)[0] in allowed
    if other == "repeat":
        finish(kernel, lambda: second in client.answers)
        assert client.answer(second)[0] == "success"
    if other != "SIGTERM":
        last = ThriftClient(server.ports[0])  # the one that has said nothing yet may have been closed for that
        after = last.send("tide", b"after")
        finish(kernel, lambda: after in last.answers)
        assert last.answer(after)[0] == "success"
    assert server.stop() == 0
    counts = until(lambda: server.event("counters"))
    assert not [name for name in counts if name.startswith("impossible")], counts
    assert set(first.count.values()) <= {1}
    assert kernel.by_body[b"it"] <= 1


def finish(kernel: ScriptedEngine, ready: Callable[[], bool]) -> None:
    """End all that runs until this is so."""

    def look() -> bool:
        for rid in list(kernel.running):
            kernel.end(kernel.bodies[rid], "PASS")
        return ready()

    until(look)


@pytest.mark.parametrize("notice", [False, True])
@pytest.mark.parametrize("at", [1, 4, 5, 40, -1])
def test_a_request_cut_at_any_byte_is_whole_once_its_last_byte_came(tmp_path: Path, at: int, notice: bool) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        assert client.answer(client.say("ping", full=False))
        fields = {"method": "order", "rid": "ab" * 8, "t0": str(int(time.time() * 1000)), "mem": "20.0"}
        frame = encode("invoke", 1, 7, idl.Front.invoke_args(fields=fields, body=b"in two"))
        client.sock.sendall(frame[:at])
        if notice:
            running.process.terminate()
            until(lambda: client.told)
        else:
            other = ThriftClient(running.ports[0])
            assert other.ask("fetch", b"meanwhile")[0] == "success"
        client.sock.sendall(frame[at:])
        assert client.answer(7)[0] == "success"
        assert running.kernel.by_body[b"in two"] == 1
        assert running.stop() == 0
        assert client.count[7] == 1


def test_a_reply_for_a_dropped_call_changes_nothing_that_comes_later(tmp_path: Path) -> None:
    with server_process(tmp_path) as running:
        client = ThriftClient(running.ports[0])
        running.store.script = ["slow"]  # its reply comes when nobody waits for it
        seq = client.send("render", b"calls=1 dropped")
        until(lambda: running.store.calls)
        client.say("abort", seqid=seq)
        until(lambda: running.store.drops)
        assert [client.ask("render", b"calls=2 later")[0] for _ in range(3)] == ["success"] * 3
        replies = [reply for reply in running.kernel.replies if b"dropped" in reply]
        assert not replies
        assert len(running.kernel.replies) == 6
