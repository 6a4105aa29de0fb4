"""Requests of clients that closed their connection, or come again with the same id."""

from __future__ import annotations

import os
import signal
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from myrtlespar.fakes import FakeGateway, ServerProcess, ThriftClient, server_process, until
from myrtlespar.net.codec.thrift import encode, idl
from tests.ajp_operator_file import AJP_OPERATOR_FILE
from tests.conftest import HandoverFolders
from tests.request_classes import class_settings

RESET = struct.pack("ii", 1, 0)  # SO_LINGER with no time: the close resets the connection
REQUESTS = 32


def given(effect: str) -> dict[str, Any]:
    rows = (("order", effect, 4000.0), ("render", "free", 4000.0), ("fetch", "free", 4000.0))
    return {"settings": {**class_settings(*rows), "clients": {"marks_retry": True}}}


def order(seq: int, request_id: str, body: bytes) -> bytes:
    fields = {"method": "order", "rid": request_id, "mem": "20.0", "token": f"t{seq}"}
    return encode("invoke", 1, seq, idl.Front.invoke_args(fields=fields, body=body))


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def stopped(server: ServerProcess, act: Callable[[], None]) -> None:
    """Do something while the server process stands still, so that it finds the whole result at once."""
    server.process.send_signal(signal.SIGSTOP)
    stat = Path(f"/proc/{server.process.pid}/stat")
    until(lambda: stat.read_text().rpartition(") ")[2][0] == "T", "the process stopped")
    act()
    server.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_requests_that_are_unread_at_a_reset_never_start(tmp_path: Path, effect: str) -> None:
    """Guards against requests that are read from the buffer of a connection that its client has reset, and run."""
    with server_process(tmp_path, given=given(effect)) as server:
        # No thread may read from it, as the reset would wait for its read.
        client = socket.create_connection(("127.0.0.1", server.ports[0]))
        client.sendall(encode("ping", 1, 1, idl.Front.ping_args(full=False)))
        assert client.recv(4096)

        def send_and_leave() -> None:
            for seq in range(10, 10 + REQUESTS):
                client.sendall(order(seq, os.urandom(8).hex(), b"unread"))
            reset(client)

        stopped(server, send_and_leave)
        until(lambda: server.counters().get("in.behind_reset.thrift"), "the reset seen")
        assert ThriftClient(server.ports[0]).ask("render")[0] == "success"
        assert server.engine.starts_by_body[b"unread"] == 0


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_a_gateways_request_that_is_unread_at_a_reset_never_starts(tmp_path: Path, effect: str) -> None:
    with server_process(tmp_path, operator=AJP_OPERATOR_FILE, given=given(effect)) as server:
        gateway = FakeGateway(server.ports[1])
        assert gateway.ask("/fetch", b"first")[0] == 200

        def send_and_leave() -> None:
            gateway.forward("/order", b"unread")
            reset(gateway.sock)

        stopped(server, send_and_leave)
        until(lambda: server.counters().get("in.behind_reset.ajp"), "the reset seen")
        assert ThriftClient(server.ports[0]).ask("render")[0] == "success"
        assert server.engine.starts_by_body[b"unread"] == 0


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot"])
def test_a_client_that_closed_one_direction_gets_all_its_answers(tmp_path: Path, effect: str) -> None:
    """A client that has closed both looks the same until an answer comes back, so its requests run as well."""
    with server_process(tmp_path, given=given(effect)) as server:
        client = ThriftClient(server.ports[0])

        def send_and_finish() -> None:
            for seq in range(1, REQUESTS + 1):
                client.sock.sendall(order(seq, os.urandom(8).hex(), b"ms=1 half closed"))
            client.sock.shutdown(socket.SHUT_WR)

        stopped(server, send_and_finish)
        until(lambda: len(client.answers) == REQUESTS, "all answers")
        assert set(client.count.values()) == {1}


ID = "ab" * 8
BODY = b"ms=400 once"


def send_and_leave(server: ServerProcess, effect: str, resets: bool) -> None:
    """Send an order, and close the connection once it runs."""
    client = socket.create_connection(("127.0.0.1", server.ports[0]))
    client.sendall(order(1, ID, BODY))
    until(lambda: server.engine.starts_by_body[BODY], f"the run of an order that is {effect}")
    if resets:
        reset(client)
    client.close()


def ask_again(server: ServerProcess) -> str:
    """Send the order with the same id on a new connection, and return the kind of its answer."""
    return ThriftClient(server.ports[0]).ask("order", BODY, rid=ID, token="t1")[0]


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
def test_an_id_that_comes_again_after_its_client_left_does_not_run_again(
    tmp_path: Path, effect: str, resets: bool
) -> None:
    """Guards against a second run of an attempt whose first run has ended, or still goes on without a client."""
    with server_process(tmp_path, given=given(effect)) as server:
        send_and_leave(server, effect, resets)
        assert ask_again(server) != "refused"
        until(lambda: not server.engine.running, "the end of the run")
        assert ask_again(server) != "refused"
        assert server.engine.starts_by_body[BODY] == 1


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
@pytest.mark.parametrize("moment", ["before", "during", "after"])
def test_an_id_that_comes_again_at_the_other_process_does_not_run_again(
    handover_folders: HandoverFolders, effect: str, resets: bool, moment: str
) -> None:
    """Guards against a replacement that knows nothing of what the old process has started, until the keys arrive."""
    shared = {"mgmt": True, "shared": handover_folders.shared, "given": given(effect)}
    with server_process(handover_folders.old, **shared) as old:
        if moment == "before":
            send_and_leave(old, effect, resets)
        with server_process(handover_folders.new, **shared) as new:
            if moment != "before":
                send_and_leave(old, effect, resets)
            if moment == "after":
                old.process.terminate()
                assert old.process.wait(10) == 0
                until(lambda: new.event("hand-over taken: 1 keys") or effect == "single_shot", "the keys")
            client = ThriftClient(new.ports[0])
            number = client.send("order", BODY, rid=ID, token="t1")
            old.process.terminate()
            assert old.process.wait(10) == 0
            assert client.answer(number)[0] in ("success", "failed")
            assert new.engine.starts_by_body[BODY] == 0
            assert old.engine.starts_by_body[BODY] == 1


def test_an_id_of_the_new_process_does_not_run_in_the_old_one(handover_folders: HandoverFolders) -> None:
    shared = {"mgmt": True, "shared": handover_folders.shared, "given": given("single_shot")}
    with server_process(handover_folders.old, **shared) as old, server_process(handover_folders.new, **shared) as new:
        send_and_leave(new, "single_shot", resets=True)
        assert ask_again(old) == "failed"
        assert old.engine.starts_by_body[BODY] == 0
