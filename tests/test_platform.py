"""The real program on sockets, as the platform's neighbours see it."""

import json
import signal
import socket
import struct
import threading
import time
from pathlib import Path

import pytest

from myrtlespar.exchange import Answer, AnswerKind, Exchange
from myrtlespar.fakes import FakeDependency, ServerProcess, ThriftClient, exactly, server_process, settings, until
from myrtlespar.policy.messages import RunOutcome
from myrtlespar.policy.settings import read_settings
from myrtlespar.request_coordinator import RequestCoordinator
from myrtlespar.resource_limits import ResourceLimits
from myrtlespar.runtime.counters import Counters
from myrtlespar.state_machines.attempts import AttemptState


def test_body_calls_and_result_pass_byte_for_byte(server: ServerProcess) -> None:
    body = b"calls=2 " + bytes(range(256))
    kind, answer = ThriftClient(server.ports[0]).ask("render", body)
    assert (kind, answer.body, answer.good) == ("success", b"result of " + body, True)
    assert 0 <= float(answer.fields["hint"]) <= 1
    assert [call for _, call in server.store.calls] == [b"call %d of " % n + body for n in range(2)]
    assert server.kernel.replies == [b"reply\r\nto call %d of " % n + body for n in range(2)]


@pytest.mark.parametrize(
    ("body", "kind"), [(b"end=FAIL", "failed"), (b"end=NOOP", "failed"), (b"end=KILLED", "failed")]
)
def test_ends_of_runs_become_answers(server: ServerProcess, body: bytes, kind: str) -> None:
    assert ThriftClient(server.ports[0]).ask("order", body)[0] == kind


def test_answers_come_out_of_order_and_the_check_is_good(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    slow, fast = client.send("render", b"ms=400"), client.send("fetch", b"ms=1")
    assert client.answer(fast)[0] == "success"
    assert slow not in client.answers
    assert client.answer(client.say("ping", full=True))[1].good
    assert client.answer(slow)[0] == "success"


@pytest.mark.parametrize(
    ("method", "fields"),
    [
        ("moon", {}),
        ("render", {"rid": ""}),
        ("render", {"rid": "a b"}),
        ("render", {"t0": "soon"}),
        ("render", {"mem": "-1"}),
        ("render", {"t0": "nan"}),
    ],
)
def test_bad_requests_get_an_exception_and_the_link_goes_on(
    server: ServerProcess, method: str, fields: dict[str, str]
) -> None:
    client = ThriftClient(server.ports[0])
    assert client.ask(method, b"", **fields)[0] == "exception"
    assert client.ask("fetch")[0] == "success"


def invoke(fields: bytes) -> bytes:
    """A request whose arguments are these bytes."""
    frame = b"\x80\x01\x00\x01\x00\x00\x00\x06invoke\x00\x00\x00\x09" + fields
    return struct.pack(">I", len(frame)) + frame


@pytest.mark.parametrize(
    "data",
    [
        struct.pack(">I", 1 << 31) + b"x" * 9,
        struct.pack(">I", 0) + b"x" * 9,
        struct.pack(">I", 8) + b"nonsense",
        struct.pack(">I", 20) + b"\x80\x01\x00\x01" + struct.pack(">I", 1 << 30) + b"x" * 12,
        struct.pack(">I", 9) + b"\x80\x01",  # begun and never finished
        invoke(b"\x0b\x00\x02\xff\xff\xff\x00"),  # a text of negative length
        invoke(b"\x0f\x00\x07\x01\x7f\xff\xff\xff"),  # a long list of elements that take no bytes
        invoke(b"\x0d\x00\x01\x0b\x0b\xff\xff\xff\xff"),  # a map of negative size
        invoke(b"\x0c\x00\x07" * 5000),
        invoke(b"\x0f\x00\x07" + b"\x0f\x00\x00\x00\x01" * 5000),
    ],
    ids=[
        "long frame",
        "empty frame",
        "nonsense",
        "long name",
        "unfinished",
        "negative text",
        "long list",
        "negative map",
        "deep structures",
        "deep lists in a long frame",
    ],
)
def test_bytes_that_are_no_message_close_only_their_link(server: ServerProcess, data: bytes) -> None:
    client = ThriftClient(server.ports[0])
    open_one = client.send("render", b"ms=3000" if len(data) < 10 else b"ms=400")
    until(lambda: server.kernel.starts)
    client.sock.sendall(data)
    assert client.answer(open_one)[0] == "success"
    assert client.ended.wait(20)
    # A call that stands under a number of its own is told; nothing else is, as no request stands behind it.
    told = {9: "exception"} if b"invoke" in data and len(data) <= 4 + 16384 else {}
    assert {seq: answer[0] for seq, answer in client.answers.items()} == {open_one: "success", **told}
    assert set(client.count.values()) == {1}
    assert ThriftClient(server.ports[0]).ask("fetch")[0] == "success"


def test_a_silent_connection_is_closed_and_one_that_asked_once_is_kept(server: ServerProcess) -> None:
    asked, silent = ThriftClient(server.ports[0]), ThriftClient(server.ports[0])
    assert asked.ask("fetch")[0] == "success"
    assert silent.ended.wait(20)
    assert not silent.answers
    assert not silent.told
    assert asked.ask("fetch")[0] == "success"


def test_idle_connections_make_room_and_open_requests_keep_theirs(tmp_path: Path) -> None:
    with server_process(tmp_path, sockets=100) as running:
        busy = ThriftClient(running.ports[0])
        answer = busy.send("order", b"ms=1500")
        until(lambda: running.kernel.starts)
        idle = []
        for _ in range(44):
            idle.append(ThriftClient(running.ports[0]))
            assert idle[-1].ask("fetch")[0] == "success"
        assert idle[0].ended.wait(20)
        assert not idle[-1].ended.is_set()
        assert busy.answer(answer)[0] == "success"
        assert not busy.ended.is_set()
        assert running.counters()["in.idle_closed.thrift"] == 1


def test_unknown_method_is_named_and_33rd_open_request_is_refused(server: ServerProcess) -> None:
    sock = socket.create_connection(("127.0.0.1", server.ports[0]))
    body = b"\x80\x01\x00\x01" + struct.pack(">I", 4) + b"moon" + struct.pack(">I", 7) + b"\0"
    sock.sendall(struct.pack(">I", len(body)) + body)
    reply = exactly(sock, struct.unpack(">I", exactly(sock, 4))[0])
    assert reply[3] == 3
    assert b"unknown method" in reply
    client = ThriftClient(server.ports[0])
    seqs = [client.send("render", b"ms=300") for _ in range(33)]
    assert client.answer(seqs[-1])[0] == "refused"


def test_requests_unknown_to_the_kernel_turn_away_nobody_else(server: ServerProcess) -> None:
    rude, client = ThriftClient(server.ports[0]), ThriftClient(server.ports[0])
    aliens = [rude.send("fetch", b"alien") for _ in range(30)]
    assert [rude.answer(seq)[0] for seq in aliens] == ["failed"] * 30
    assert [client.ask("fetch")[0] for _ in range(5)] == ["success"] * 5


def test_abort_frees_what_is_held_and_its_answer_is_not_needed(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    running = [client.send("render", b"ms=1000") for _ in range(3)]
    until(lambda: server.kernel.starts)
    held = client.send("order", b"never")
    client.say("abort", seqid=held)
    assert [client.answer(seq)[0] for seq in running] == ["success"] * 3
    assert client.ask("fetch")[0] == "success"
    assert held not in client.answers
    assert b"never" not in server.kernel.by_body
    assert client.count[running[0]] == 1


@pytest.mark.parametrize(
    ("script", "kind", "calls"),
    [
        (["BUSY"], "success", 2),
        (["VOID"], "success", 2),
        (["ERR"], "failed", 1),
        (["LATE"], "failed", 1),
        (["cut"], "failed", 1),
    ],
)
def test_an_orders_call_is_repeated_only_on_proof(
    server: ServerProcess, script: list[str], kind: str, calls: int
) -> None:
    server.store.script = script
    assert ThriftClient(server.ports[0]).ask("order", b"calls=1")[0] == kind
    assert len(server.store.calls) == calls


@pytest.mark.parametrize("spoilt", ["noise", "endless", "short", "huge", "cut"])
def test_a_spoilt_reply_ends_its_own_call_only(server: ServerProcess, spoilt: str) -> None:
    client = ThriftClient(server.ports[0])
    server.store.script = ["slow"]
    slow = client.send("order", b"calls=1 slow")
    until(lambda: server.store.calls)
    server.store.script = [spoilt, spoilt]
    assert client.ask("order", b"calls=1")[0] == "failed"  # it may have had its effect
    assert client.ask("render", b"calls=1")[0] == "success"  # a read's call is made again
    assert client.answer(slow)[0] == "success"
    assert client.ask("order", b"calls=2")[0] == "success"


@pytest.mark.parametrize("more", ["copy", "stray"])
def test_replies_that_carry_more_than_is_theirs_are_still_good(server: ServerProcess, more: str) -> None:
    server.store.script = [more] * 4
    assert ThriftClient(server.ports[0]).ask("order", b"calls=4")[0] == "success"
    assert server.kernel.replies == [b"reply\r\nto call %d of calls=4" % n for n in range(4)]


def test_a_store_that_is_down_proves_that_no_call_ran(server: ServerProcess) -> None:
    port = server.store.port
    server.store.down()
    client = ThriftClient(server.ports[0])
    seq = client.send("order", b"calls=1")
    until(lambda: server.counters().get("store.unreachable"))
    server.store = FakeDependency(port)
    assert client.answer(seq)[0] == "success"


def test_a_call_that_nobody_needs_is_dropped(server: ServerProcess) -> None:
    server.store.script = ["hang"]
    client = ThriftClient(server.ports[0])
    seq = client.send("order", b"calls=1")
    until(lambda: server.store.calls)
    client.say("abort", seqid=seq)
    assert until(lambda: server.store.drops) == [server.store.calls[0][0]]


def test_overload_answers_all_by_the_due_time_with_a_retry_after(server: ServerProcess) -> None:
    clients = [ThriftClient(server.ports[0]) for _ in range(4)]
    began = time.time() * 1000
    sent = [(client, client.send("render", b"ms=300"), began) for client in clients for _ in range(16)]
    answers = [client.answer(seq) for client, seq, _ in sent]
    refused = [answer for kind, answer in answers if kind == "refused"]
    assert refused
    assert all(float(answer.fields["backoff"]) > 0 for answer in refused)
    assert all(client.times[seq] - at < 6100 + 150 for client, seq, at in sent)
    assert all(count == 1 for client in clients for count in client.count.values())


def test_a_broken_kernel_link_loses_no_run_and_starts_no_order_twice(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    order, read = client.send("order", b"ms=300 calls=1"), client.send("render", b"ms=300 calls=1")
    until(lambda: len(server.kernel.replies) == 2)
    assert server.kernel.link is not None
    server.kernel.cut(server.kernel.link)
    assert client.answer(order)[0] == client.answer(read)[0] == "success"
    assert server.kernel.by_body[b"ms=300 calls=1"] == 2
    assert server.kernel.commands[0]["no"] == 0
    opens = [row["no"] for row in server.kernel.commands if row["t"] == "OPEN"]
    assert len(opens) >= 2
    assert opens[-1] == 2


@pytest.mark.parametrize(("method", "kind", "runs"), [("render", "success", 1), ("order", "failed", 0)])
def test_what_was_lost_with_the_link_is_sent_again_only_where_a_second_run_is_harmless(
    server: ServerProcess, method: str, kind: str, runs: int
) -> None:
    client = ThriftClient(server.ports[0])
    server.kernel.deaf = True
    seq = client.send(method, b"lost")
    until(lambda: any(row["t"] == "SCHED" for row in server.kernel.ignored_commands), "the start, unheard")
    server.kernel.deaf = False
    assert server.kernel.link is not None
    server.kernel.cut(server.kernel.link)
    assert client.answer(seq)[0] == kind
    assert server.kernel.by_body[b"lost"] == runs


@pytest.mark.parametrize("body", [b"ms=1", b"ms=500"])
def test_an_order_whose_link_broke_after_its_start_runs_once(server: ServerProcess, body: bytes) -> None:
    client = ThriftClient(server.ports[0])
    server.kernel.mute = True  # reads and runs, but nothing it writes arrives
    seq = client.send("order", body)
    until(lambda: server.kernel.by_body[body])
    server.kernel.mute = False
    assert server.kernel.link is not None
    server.kernel.cut(server.kernel.link)
    assert client.answer(seq)[0] == "success"
    # That nothing happens is checked over a span well past the time after which a silent order is sent again.
    time.sleep(0.3)
    assert server.kernel.by_body[body] == 1


@pytest.mark.parametrize("odd", [b"remark\n", b"[1]\n", b'{"t":"DMESG","status":"x"}\n', b'{"t":"INFO","v":7}\n'])
def test_an_odd_line_of_the_kernel_changes_nothing(server: ServerProcess, odd: bytes) -> None:
    assert server.kernel.link
    server.kernel.link.sendall(odd)
    assert ThriftClient(server.ports[0]).ask("order", b"calls=1")[0] == "success"
    assert len([row for row in server.kernel.commands if row["t"] == "OPEN"]) == 1


def test_a_notice_lost_on_the_way_is_asked_for_again(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    server.kernel.mute = True
    lost = client.send("order", b"ms=1")
    until(lambda: server.kernel.notices)
    server.kernel.mute = False
    assert client.ask("fetch")[0] == client.answer(lost)[0] == "success"


def test_a_reload_under_load_moves_every_link_and_loses_nothing(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    seqs: list[int] = []
    for n in range(5):
        server.store.script, seen = ["slow"], len(server.store.calls)  # one call is in hand as the links move
        seqs += [client.send(method, b"ms=40 calls=2") for method in ("order", "render")]
        until(lambda: len(server.store.calls) >= seen + 3)  # noqa: B023
        old = [*server.store.links, *server.roster.links]
        server.move()
        seqs += [client.send(method, b"ms=40 calls=2") for method in ("order", "render")]
        until(lambda: len([row for row in server.log if row["event"] == "kernel up"]) > n + 1)  # noqa: B023
        for seq in seqs:
            client.answer(seq)  # from then on the old links have nothing in hand
        server.store.cut(*old)
    assert [client.answer(seq)[0] for seq in seqs] == ["success"] * len(seqs)
    assert set(server.kernel.starts.values()) == {1}
    counts, reports = server.counters(), len(server.roster.reports)
    assert not counts.get("kernel.repeated")
    assert not counts.get("store.cut_off")
    assert counts["reload.done"] == 5
    until(lambda: len(server.roster.reports) > reports)


@pytest.mark.parametrize(
    ("text", "fault"),
    [("{", "BALANCER_CONFIG: not JSON"), ("{}", "settings.family_info: "), (None, "kernel: expected HOST:PORT")],
)
def test_a_faulty_file_at_a_reload_keeps_the_old_one(server: ServerProcess, text: str | None, fault: str) -> None:
    path = server.path
    path.write_text(json.dumps({**server.config, "kernel": 7}) if text is None else text)
    server.process.send_signal(signal.SIGHUP)
    assert until(lambda: server.event("reload refused"))["error"].startswith(fault)
    assert ThriftClient(server.ports[0]).ask("order", b"calls=1")[0] == "success"


def test_a_kernel_that_starts_anew_fails_its_old_runs_at_once(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    seq = client.send("order", b"calls=1")
    server.store.script = ["hang"]
    until(lambda: server.kernel.starts)
    server.kernel.born, server.kernel.notices = time.time() + 5, []
    assert server.kernel.link is not None
    server.kernel.cut(server.kernel.link)
    assert client.answer(seq)[0] == "failed"
    assert client.ask("fetch", b"after")[0] == "success"


def test_the_roster_hears_on_then_off_and_may_be_away(server: ServerProcess) -> None:
    until(lambda: len(server.roster.reports) >= 2)
    assert server.roster.reports[0] == ("/roster/n3", {"duty": "on"})
    server.roster.cut()
    seen = len(server.roster.reports)
    until(lambda: len(server.roster.reports) > seen)
    server.process.terminate()
    until(lambda: server.roster.reports[-1][1] == {"duty": "off"})


def test_drain_tells_clients_answers_all_and_exits_clean(server: ServerProcess) -> None:
    client = ThriftClient(server.ports[0])
    seqs = [client.send("render", b"ms=700") for _ in range(10)]
    until(lambda: server.kernel.starts)
    server.process.terminate()
    until(lambda: client.told == ["shutdown"])
    late = ThriftClient(server.ports[0])
    early = late.send("fetch", b"in grace")
    time.sleep(1.1)  # the behaviour under test: longer than drain_grace_ms of the settings, 1000
    beyond = late.send("fetch", b"past grace")
    assert late.answer(early)[0] in ("success", "refused")
    assert late.answer(beyond)[0] == "refused"
    assert b"past grace" not in server.kernel.by_body
    assert all(client.answer(seq)[0] in ("success", "refused", "failed") for seq in seqs)
    assert server.process.wait(20) == 0
    assert client.ended.wait(20)
    assert late.ended.wait(20)
    assert client.told == late.told == ["shutdown"]
    assert until(lambda: server.event("counters"))["answer.refused.thrift"] >= 1


def test_a_client_that_does_not_read_is_cut_off_and_nobody_else_waits(server: ServerProcess) -> None:
    lazy = socket.create_connection(("127.0.0.1", server.ports[0]))
    lazy.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    bad = b"\x80\x01\x00\x01" + struct.pack(">I", 40) + b"m" * 40 + struct.pack(">I", 7) + b"\0"

    def flood() -> None:
        try:
            for _ in range(400):
                lazy.sendall((struct.pack(">I", len(bad)) + bad) * 500)
        except OSError:
            pass

    thread = threading.Thread(target=flood, daemon=True)
    thread.start()
    for _ in range(20):
        assert ThriftClient(server.ports[0]).ask("fetch")[0] == "success"
    thread.join(30)
    assert not thread.is_alive()
    assert server.process.poll() is None


def test_a_kernel_that_comes_late_is_waited_for(tmp_path: Path) -> None:
    with server_process(tmp_path, late_kernel=True) as running:
        client = ThriftClient(running.ports[0])
        assert client.answer(client.say("ping", full=False))[1].good
        assert not running.roster.reports
        running.kernel.up.set()
        until(lambda: running.roster.reports)
        assert client.ask("order")[0] == "success"


@pytest.mark.parametrize(
    ("asked", "wake", "turn"),
    [(False, 1040.0, 1000.0), (False, 1003.0, 999.0), (True, 1003.0, 1000.0), (True, 990.0, 990.0)],
)
def test_the_core_turns_no_earlier_than_something_is_due(asked: bool, wake: float, turn: float) -> None:
    coordinator = RequestCoordinator(read_settings(settings()), 1, ResourceLimits(), Counters())
    coordinator._sweep_at, coordinator._wakes, coordinator._asked = 1000.0, [(wake, 0)], asked
    assert coordinator._next_turn() == turn


def test_a_fault_of_the_module_leaves_no_request_without_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    coordinator, answers = RequestCoordinator(read_settings(settings()), 1, ResourceLimits(), Counters()), []

    def broken(now: float, events: object) -> None:
        raise ValueError("odd state")

    monkeypatch.setattr(coordinator.policy, "handle", broken)
    arrived = time.time() * 1000 - 4500
    late = Exchange("a", "thrift", 2, b"", arrived, lambda _, answer: answers.append(answer.kind))
    assert coordinator.submit(late)
    coordinator._turn()
    assert answers == [AnswerKind.FAILED]
    assert coordinator.tracker.unanswered == 0
    assert coordinator.counters.report()["core.fault"] == 1
    coordinator.run_ended("a", RunOutcome.OK, 1.0, Answer(AnswerKind.SERVED))
    assert len(answers) == 1
    assert late.state == AttemptState.OVER
