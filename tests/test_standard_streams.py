"""Standard output that blocks, is closed, full or without a reader: only log lines are lost."""

from __future__ import annotations

import contextlib
import fcntl
import os
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from myrtlespar.fakes import ServerProcess, server_process, until
from tests.ports import connect_when_listening, free_port

PIPE_BYTES = 4096  # the smallest capacity of a pipe


@contextlib.contextmanager
def failing_stream(kind: str) -> Iterator[int]:
    """Open a descriptor to which writes fail or block, as `kind` says."""
    if kind == "full disk":
        descriptor = os.open("/dev/full", os.O_WRONLY)
        yield descriptor
        os.close(descriptor)
        return
    reader, writer = os.pipe()
    if kind == "blocked":
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        os.write(writer, b"x" * PIPE_BYTES)  # no process reads, and the pipe is full
    else:
        os.close(reader)
    yield writer
    os.close(writer)
    if kind == "blocked":
        os.close(reader)


def serve_and_stop(running: ServerProcess, port: int) -> None:
    """Serve requests, log on SIGUSR1, handle an unexpected line of the execution engine, and shut down."""
    client = connect_when_listening(port)
    until(lambda: running.engine.link)
    assert client.ask("order", b"calls=1")[0] == "success"
    running.process.send_signal(signal.SIGUSR1)
    assert running.engine.link
    running.engine.link.sendall(b'{"t":"EINVAL","status":"SCHED","rid":"00"}\n')
    assert client.ask("fetch", b"calls=1")[0] == "success"
    in_flight = client.send("render", b"ms=300")
    until(lambda: len(running.engine.starts) == 3)
    assert running.stop() == 0
    assert client.answer(in_flight)[0] == "success"
    assert not client.count.keys() - set(range(1, client.seq + 1))


@pytest.mark.parametrize("kind", ["blocked", "no reader", "full disk"])
def test_a_log_that_cannot_be_written_does_not_affect_requests(tmp_path: Path, kind: str) -> None:
    port = free_port()
    with (
        failing_stream(kind) as output,
        server_process(tmp_path, listen=f"127.0.0.1:{port}", output=output, wait=False) as running,
    ):
        serve_and_stop(running, port)


def test_descriptors_closed_at_the_start_are_not_used_for_connections(tmp_path: Path) -> None:
    """Guards against sockets that get the descriptor numbers of standard streams: output would reach a client."""
    port = free_port()
    command = ["/bin/sh", "-c", f"exec {sys.executable} -m myrtlespar <&- >&- 2>&-"]
    with server_process(tmp_path, listen=f"127.0.0.1:{port}", command=command, wait=False) as running:
        serve_and_stop(running, port)
        kinds = {row["t"] for row in running.engine.commands}
        assert kinds <= {"OPEN", "SCHED", "IODONE", "SYSINFO"}


@pytest.mark.parametrize("kind", ["blocked", "no reader"])
def test_a_failed_start_ends_even_if_no_process_reads_the_error(tmp_path: Path, kind: str) -> None:
    with (
        failing_stream(kind) as output,
        server_process(tmp_path, given={"kernel": "nowhere"}, output=output, wait=False) as running,
    ):
        assert running.process.wait(20) == 2


def test_a_log_that_is_read_again_continues_and_reports_lost_lines(tmp_path: Path) -> None:
    port = free_port()
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    with server_process(tmp_path, listen=f"127.0.0.1:{port}", output=writer, wait=False) as running:
        client = connect_when_listening(port)
        for _ in range(900):  # more lines than the pipe and the backlog can hold
            running.process.send_signal(signal.SIGUSR1)
            assert client.ask("fetch")[0] == "success"
        os.set_blocking(reader, False)
        seen = b""

        def lost_lines_reported() -> bool:
            nonlocal seen
            with contextlib.suppress(BlockingIOError):
                seen += os.read(reader, 65536)
            return b"log lines lost" in seen

        until(lost_lines_reported, "the number of lost lines")
        assert running.stop() == 0
    os.close(writer)
    os.close(reader)
