"""The hand-over from one process to its replacement: no connection, request or idempotency key is lost."""

from __future__ import annotations

import json
import os
import select
import socket
import subprocess
import sys
import threading
from collections import Counter
from pathlib import Path

import pytest

from myrtlespar.fakes import ROOT, ThriftClient, server_process, until
from myrtlespar.fakes.tcp_server import read_exactly
from myrtlespar.net.codec.thrift import encode as encode_message
from myrtlespar.net.codec.thrift import idl
from myrtlespar.state_machines.process import ProcessAction, ProcessLifecycle, ProcessState
from tests.conftest import HandoverFolders
from tests.gates import Gate
from tests.ports import connect_when_listening, free_port
from tests.request_classes import KEYED_SETTINGS, KEYS_ENABLED

MAX_REQUESTS_PER_THREAD = 2000  # upper bound; the load is normally stopped much sooner
CONNECT_INTERVAL_S = 0.008  # between connections, while a process that will fail to start runs
MAX_CONNECTIONS = 400  # until that process ends


def test_a_handover_closes_at_once_starts_all_requests_and_ends_before_the_kill() -> None:
    process = ProcessLifecycle(
        stop_ms=10000.0, grace_ms=1000.0, overdue_check_ms=50.0, flush_ms=300.0, crossing_ms=50.0
    )
    assert process.handover(1000.0, 3700.0) == (ProcessAction.CLOSE_LISTENERS, ProcessAction.ASK_CLIENTS)
    assert process.state == ProcessState.CROSSING
    assert process.may_start(9000.0)
    assert process.answer_deadline() == 1000.0 + 3700.0 - 2 * 50.0  # a check may come one interval late
    assert process.handover(1200.0, 3700.0) == ()
    assert process.kill_at == 4700.0
    assert process.poll(1040.0, unanswered=0) == ()
    assert process.poll(1060.0, unanswered=0) == (ProcessAction.FLUSH,)


def ends_within(process: subprocess.Popen[bytes], seconds: float) -> bool:
    """Wait for the end of a process. Returns whether it ended in time."""
    try:
        process.wait(seconds)
    except subprocess.TimeoutExpired:
        return False
    return True


def readable_within(sockets: list[socket.socket], seconds: float) -> bool:
    """Wait for data, an end of stream or a reset on any socket. Returns whether one came in time."""
    poll = select.poll()
    for sock in sockets:
        poll.register(sock, select.POLLIN)
    return bool(poll.poll(seconds * 1000.0))


def ask_like_a_client_proxy(port: int) -> str:
    """Send one request like a client proxy, which retries once if the server announced its shutdown meanwhile.

    Returns:
        The kind of the answer, or why there is none.
    """
    for _ in range(2):
        try:
            client = ThriftClient(port)
        except OSError as error:
            return f"refused: {error}"
        seq = client.send("render", b"ms=20")
        until(lambda: seq in client.answers or client.ended.is_set(), "an answer or the end")  # noqa: B023
        client.sock.close()
        if seq in client.answers:
            return str(client.answers[seq][0])
        if "shutdown" not in client.one_way_messages:
            return "closed without notice"
    return "closed without notice twice"


class RequestLoad:
    """Sends requests from several threads, one after another in each, until it is stopped.

    Attributes:
        results: What `ask_like_a_client_proxy` returned for each request.
    """

    def __init__(self, port: int, thread_count: int) -> None:
        self.results: list[str] = []
        self._port = port
        self._stop_requested = threading.Event()
        self._threads = [threading.Thread(target=self._send) for _ in range(thread_count)]
        for thread in self._threads:
            thread.start()

    def wait_for_more(self, count: int, what: str) -> None:
        """Wait until more than this many further requests have a result."""
        seen = len(self.results)
        until(lambda: len(self.results) > seen + count, what)

    def stop(self) -> None:
        """Send no more requests, and wait for the threads to end."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join(30)

    def _send(self) -> None:
        for _ in range(MAX_REQUESTS_PER_THREAD):
            if self._stop_requested.is_set():
                return
            self.results.append(ask_like_a_client_proxy(self._port))


@pytest.mark.parametrize("kill_new", [False, True])
def test_a_replacement_under_load_rejects_no_client(handover_folders: HandoverFolders, kill_new: bool) -> None:
    with server_process(handover_folders.old, mgmt=True, shared=handover_folders.shared) as old:
        port = old.ports[0]
        client = ThriftClient(port)
        slow_requests = [client.send("render", b"ms=700") for _ in range(8)]
        load = RequestLoad(port, thread_count=4)
        with server_process(
            handover_folders.new, mgmt=True, shared=handover_folders.shared, listen=f"127.0.0.1:{port}"
        ) as new:
            until(lambda: new.ask(b"STATUS\n") == "done yes\n", "the new process ready")
            if kill_new:  # the new process dies before the hand-over: the old one continues alone
                new.process.kill()
                new.process.wait(10)
                load.wait_for_more(60, "requests that the old process answers")
                assert old.ask(b"STATUS\n") == "done yes\n"
            else:
                old.process.terminate()
                assert old.process.wait(10) == 0
                assert old.event("idempotency keys written for the replacement") is not None
            # Each request that was read is answered.
            assert {client.answer(seq)[0] for seq in slow_requests} <= {"success", "refused"}
            load.wait_for_more(20, "requests after the hand-over")
            load.stop()
        assert len(load.results) > 20, Counter(load.results)
        assert set(load.results) <= {"success", "refused"}, Counter(load.results)


def test_a_second_process_that_fails_to_start_accepts_no_connection(tmp_path: Path) -> None:
    """A process that finds the admin address in use must not have accepted client connections before.

    It ends at once, which would drop these connections.
    """
    with server_process(tmp_path, mgmt=True) as old:
        path = tmp_path / "new.json"
        listen = f"127.0.0.1:{old.ports[0]}"
        path.write_text(json.dumps({**old.config, "listen": listen, "mgmt": f"127.0.0.1:{old.mgmt}"}))
        env = {**os.environ, "BALANCER_CONFIG": str(path)}
        check = encode_message("ping", 1, 1, idl.Front.ping_args(full=False))
        for _ in range(3):
            new = subprocess.Popen(
                [sys.executable, "-m", "myrtlespar"],
                cwd=ROOT,
                env=env,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.PIPE,
            )
            connections: list[socket.socket] = []
            while len(connections) < MAX_CONNECTIONS and not ends_within(new, CONNECT_INTERVAL_S):
                connection = socket.create_connection(("127.0.0.1", old.ports[0]), 10)
                connections.append(connection)
                connection.sendall(check)  # a connection that sends nothing would be closed
                assert len(read_exactly(connection, int.from_bytes(read_exactly(connection, 4), "big"))) > 8
            assert new.wait(20) == 2
            assert b"mgmt" in new.communicate()[1]
            assert connections
            assert not readable_within(connections, 0.1)  # neither closed nor reset
            for connection in connections:
                connection.setblocking(False)
                with pytest.raises(BlockingIOError):
                    connection.recv(1)
                connection.close()


def test_a_request_run_by_the_old_process_is_not_run_again_by_the_new_one(handover_folders: HandoverFolders) -> None:
    with server_process(handover_folders.old, mgmt=True, shared=handover_folders.shared, operator=KEYS_ENABLED) as old:
        port = old.ports[0]
        assert ThriftClient(port).ask("order", b"ms=5 once", key="k-1")[0] == "success"
        with server_process(
            handover_folders.new,
            mgmt=True,
            shared=handover_folders.shared,
            operator=KEYS_ENABLED,
            listen=f"127.0.0.1:{port}",
        ) as new:
            assert new.event("an old process lives: keys wait for its hand-over") is not None
            old.process.terminate()
            assert old.process.wait(10) == 0
            until(lambda: new.event("hand-over taken: 1 keys"), "the keys received")
            kind, answer = ThriftClient(port).ask("order", b"ms=5 once", key="k-1")
            assert kind == "success"
            assert answer.body == b"result of ms=5 once"
            assert new.engine.starts_by_body[b"ms=5 once"] == 0
            assert old.engine.starts_by_body[b"ms=5 once"] == 1
            assert ThriftClient(port).ask("order", b"ms=5 twice", key="k-2")[0] == "success"
            assert new.engine.starts_by_body[b"ms=5 twice"] == 1


def test_a_request_that_still_runs_when_its_process_ends_is_not_run_again(handover_folders: HandoverFolders) -> None:
    """Guards against a hand-over of finished outcomes only, without the keys of runs that are still in progress.

    The model checker found this fault: a retry in the new process started such a run again.
    """
    with server_process(handover_folders.old, mgmt=True, shared=handover_folders.shared, operator=KEYS_ENABLED) as old:
        port = old.ports[0]
        client = ThriftClient(port)
        client.send("order", b"ms=6000 slow", key="k-1")
        until(lambda: old.engine.starts_by_body[b"ms=6000 slow"], "the run")
        client.sock.close()  # no client waits for the answer any longer
        with server_process(
            handover_folders.new,
            mgmt=True,
            shared=handover_folders.shared,
            operator=KEYS_ENABLED,
            listen=f"127.0.0.1:{port}",
        ) as new:
            old.process.terminate()
            assert old.process.wait(10) == 0
            until(lambda: new.event("hand-over taken: 1 keys"), "the keys received")
            assert ThriftClient(port).ask("order", b"ms=6000 slow", key="k-1")[0] == "failed"
            assert new.engine.starts_by_body[b"ms=6000 slow"] == 0
            assert old.engine.starts_by_body[b"ms=6000 slow"] == 1


def test_keys_published_between_two_polls_are_not_missed(tmp_path: Path) -> None:
    """The new process finds no file, then the old one publishes its keys and ends, then the new one gets the lock.

    It must read the folder once more before it accepts requests with a key.
    """
    gate = Gate(
        tmp_path,
        "myrtlespar.handover.folder:HandoverFolder.acquire_lock",
        "calls.append(1) or len(calls) == 2",
        "calls = []",
    )
    port = free_port()
    (tmp_path / "old").mkdir()
    (tmp_path / "new").mkdir()
    with server_process(
        tmp_path / "old", mgmt=True, shared=tmp_path, given=KEYED_SETTINGS, listen=f"127.0.0.1:{port}"
    ) as old:
        assert ThriftClient(port).ask("booking", b"seat 1", token="t")[0] == "success"
        with server_process(
            tmp_path / "new",
            mgmt=True,
            shared=tmp_path,
            given={**KEYED_SETTINGS, "kernel": old.engine.address},
            listen=f"127.0.0.1:{port}",
            start=gate.start,
            wait=False,
        ) as new:
            gate.wait_until_reached(new)  # in its second poll; in the first one the old process was alive
            old.process.terminate()
            assert old.process.wait(20) == 0
            gate.open()
            until(lambda: new.event("serving"))
            until(
                lambda: new.event("hand-over taken: 1 keys")
                or new.event("the old process is gone; keys open without its hand-over")
            )
            assert new.event("hand-over taken: 1 keys") is not None
            client = connect_when_listening(port)
            assert client.ask("booking", b"seat 1", token="t", again="1")[0] == "success"
        assert old.engine.starts_by_body[b"seat 1"] == 1
