"""The faults of the engine, dependency, registry, clients and the process itself that a trial draws from."""

from __future__ import annotations

import signal
import socket
import struct
import time
from typing import TYPE_CHECKING

from myrtlespar.fakes import ServerProcess
from myrtlespar.net.codec.thrift import encode, idl
from tests.traced_peers import TracedClient

if TYPE_CHECKING:
    from tests.fault_injection import Trial

# Connections of clients that violate the protocol, which stay open until the test process ends.
HELD_OPEN: list[socket.socket] = []
PAUSE_S = 0.15


def engine_link_cut(trial: Trial, running: ServerProcess) -> None:
    if trial.engine.link is not None:
        trial.engine.cut(trial.engine.link)


def engine_link_cut_inside_a_notice(trial: Trial, running: ServerProcess) -> None:
    with trial.engine.lock:
        link = trial.engine.link
        if link is not None:
            try:
                link.sendall(b'{"t":"REAP","no":')
            except OSError:
                return
            trial.engine.cut(link)


def engine_restarts(trial: Trial, running: ServerProcess) -> None:
    trial.engine.restart()


def engine_sends_malformed_lines(trial: Trial, running: ServerProcess) -> None:
    malformed_lines = [
        b"[" * 5000,
        b"{}",
        b'{"t":"INFO","mark":"gauges-1","v":[1e999]}',
        b"\xff\xfe",
        b'{"t":7,"no":"x"}',
        b"",
    ]
    with trial.engine.lock:
        if trial.engine.link is not None:
            try:
                trial.engine.link.sendall(trial.source.choice(malformed_lines) + b"\n")
            except OSError:
                return


def dependency_fails(trial: Trial, running: ServerProcess) -> None:
    kinds = ["BUSY", "ERR", "LATE", "VOID", "cut", "hang", "noise", "short", "copy", "stray", "slow", "endless"]
    running.dependency.script += [trial.source.choice(kinds) for _ in range(trial.source.randrange(1, 5))]


def dependency_connections_cut(trial: Trial, running: ServerProcess) -> None:
    running.dependency.cut()


def registry_fails(trial: Trial, running: ServerProcess) -> None:
    running.registry.mode = trial.source.choice(["", "silent", "down", "cut inside", "upgrade"])


def client_disconnects(trial: Trial, running: ServerProcess) -> None:
    client = trial.source.choice(trial.all_clients)
    if not client.left:
        client.leave(trial.source.random() < 0.5)


def client_cancels_a_request(trial: Trial, running: ServerProcess) -> None:
    client = trial.source.choice(trial.all_clients)
    seqs = [seq for seq in client.sent if seq not in client.answers]
    if seqs and not client.left:
        seq = trial.source.choice(seqs)
        client.aborted.add(seq)
        try:
            client.sock.sendall(encode("abort", 4, 0, idl.Front.abort_args(seqid=seq)))
        except OSError:
            return


def invalid_clients(trial: Trial, running: ServerProcess) -> None:
    """Connect clients that send garbage, incomplete frames or nothing, or reset; none of them gets an answer."""
    for _ in range(3):
        sock = socket.create_connection(("127.0.0.1", trial.port))
        whole = encode("invoke", 1, 1, idl.Front.invoke_args(fields={"method": "order", "rid": "ee" * 8}, body=b"x"))
        data = trial.source.choice(
            [
                b"GET / HTTP/1.1\r\n\r\n",
                whole[: trial.source.randrange(len(whole))],
                whole[:4] + b"\xff" * (len(whole) - 4),
                b"",
                b"\0\0\0\x08nonsense",
            ]
        )
        sock.sendall(data)
        if trial.source.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        else:
            trial.counts["invalid clients kept open"] += 1
            HELD_OPEN.append(sock)


def reload(trial: Trial, running: ServerProcess) -> None:
    running.process.send_signal(signal.SIGHUP)


def counters(trial: Trial, running: ServerProcess) -> None:
    running.process.send_signal(signal.SIGUSR1)


def pause(trial: Trial, running: ServerProcess) -> None:
    running.process.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)  # the process is paused for this time
    running.process.send_signal(signal.SIGCONT)


def burst(trial: Trial, running: ServerProcess) -> None:
    client = TracedClient(trial.port)
    trial.all_clients.append(client)
    for n in range(20):
        client.request("fetch", b"%d-burst-%d-%d ms=20" % (trial.seed, len(trial.all_clients), n))


FAULTS = (
    engine_link_cut,
    engine_link_cut_inside_a_notice,
    engine_restarts,
    engine_sends_malformed_lines,
    dependency_fails,
    dependency_fails,
    dependency_connections_cut,
    registry_fails,
    client_disconnects,
    client_cancels_a_request,
    invalid_clients,
    reload,
    counters,
    pause,
    burst,
)
