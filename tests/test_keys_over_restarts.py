"""The idempotency keys survive several replacements in a row, and processes that end in unusual ways."""

from __future__ import annotations

import signal
import socket
import time
from pathlib import Path
from typing import Any

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until
from tests.conftest import HandoverFolders
from tests.gates import Gate
from tests.modified_programs import program_that_fails
from tests.ports import connect_when_listening
from tests.request_classes import KEYS_ENABLED, MARKED_SETTINGS

ORDER = b"ms=5 once"


def shared_by(folders: HandoverFolders) -> dict[str, Any]:
    """Return the arguments of `server_process` that all processes of a server share."""
    return {"mgmt": True, "shared": folders.shared, "operator": KEYS_ENABLED}


def ask_order(server: ServerProcess) -> str:
    """Send the order with its key, and return the kind of the answer."""
    return ThriftClient(server.ports[0]).ask("order", ORDER, key="k-1")[0]


def assert_order_is_known(server: ServerProcess) -> None:
    """Check that a repeat of the order gets its outcome without a run."""
    assert ask_order(server) == "success"
    assert server.engine.starts_by_body[ORDER] == 0


def test_a_third_process_waits_for_the_keys_of_the_second(tmp_path: Path, handover_folders: HandoverFolders) -> None:
    """Guards against a process that receives the keys while its predecessor still holds the lock, and never locks.

    A third process would then find the lock free and no file, conclude that no other process runs, and start an order
    again that the second process has run and not handed over yet.
    """
    # After the hand-over, before the process ends.
    gate = Gate(tmp_path, "myrtlespar.server.application:Application.close_fleet")
    shared = shared_by(handover_folders)
    with server_process(handover_folders.old, start=gate.start, **shared) as old:
        listen = f"127.0.0.1:{old.ports[0]}"
        with server_process(handover_folders.new, listen=listen, **shared) as new:
            old.process.terminate()
            gate.wait_until_reached(old)
            until(lambda: new.event("hand-over taken: 0 keys"), "the keys received")
            gate.open()
            assert old.process.wait(10) == 0
            assert ask_order(new) == "success"
            with server_process(handover_folders.third, listen=listen, **shared) as third:
                assert third.event("an old process lives: keys wait for its hand-over") is not None
                new.process.terminate()
                assert new.process.wait(10) == 0
                until(lambda: third.event("hand-over taken: 1 keys"), "the keys received")
                assert_order_is_known(third)


def test_a_start_that_fails_at_the_admin_address_leaves_the_keys_for_the_next_one(
    handover_folders: HandoverFolders,
) -> None:
    """Guards against reading the keys, which removes their file, before the admin address is bound.

    A start that failed at the admin address then lost the keys.
    """
    shared = {"shared": handover_folders.shared, "operator": KEYS_ENABLED}
    with server_process(handover_folders.old, mgmt=True, **shared) as old:
        assert ask_order(old) == "success"
        old.process.terminate()
        assert old.process.wait(10) == 0
    with socket.create_server(("127.0.0.1", 0)) as holder:
        taken = f"127.0.0.1:{holder.getsockname()[1]}"
        with server_process(handover_folders.new, given={"mgmt": taken}, wait=False, **shared) as failing:
            assert failing.process.wait(20) != 0
    with server_process(handover_folders.third, mgmt=True, **shared) as third:
        assert third.event("hand-over taken: 1 keys") is not None
        assert_order_is_known(third)


def test_a_replacement_that_ends_before_it_has_the_keys_publishes_none(handover_folders: HandoverFolders) -> None:
    """Guards against an empty file of a waiting process: the next one took it for the keys of the running process."""
    shared = shared_by(handover_folders)
    with server_process(handover_folders.old, **shared) as old:
        listen = f"127.0.0.1:{old.ports[0]}"
        assert ask_order(old) == "success"
        with server_process(handover_folders.new, listen=listen, **shared) as waiting:
            assert waiting.stop() == 0
        with server_process(handover_folders.third, listen=listen, **shared) as third:
            assert third.event("an old process lives: keys wait for its hand-over") is not None
            assert old.stop() == 0
            until(lambda: third.event("hand-over taken: 1 keys"), "the keys received")
            assert_order_is_known(third)


def test_a_process_that_ends_during_its_start_leaves_the_keys_for_the_next_one(
    tmp_path: Path, handover_folders: HandoverFolders
) -> None:
    """Guards against keys that are read, which removes their file, and lost as SIGTERM ends the start."""
    gate = Gate(tmp_path, "myrtlespar.server.signal_handlers:SignalHandlers.__init__")
    shared = shared_by(handover_folders)
    with server_process(handover_folders.old, **shared) as old:
        assert ask_order(old) == "success"
        assert old.stop() == 0
    with server_process(handover_folders.new, start=gate.start, wait=False, **shared) as ended:
        gate.wait_until_reached(ended)
        assert ended.event("hand-over taken: 1 keys") is not None
        ended.process.terminate()
        gate.open()
        assert ended.process.wait(20) == 0
        assert ended.event("shutdown signal during the start; ending") is not None
    with server_process(handover_folders.third, **shared) as third:
        assert third.event("hand-over taken: 1 keys") is not None
        assert_order_is_known(third)


def test_a_process_that_ends_after_an_internal_failure_leaves_its_keys(
    tmp_path: Path, handover_folders: HandoverFolders
) -> None:
    """Guards against keys that are lost with a process which ends itself: its orders ran again at the next one."""
    seen_two = "args[0].counters._counts['in.request.thrift'] > 1"
    start = program_that_fails(tmp_path, "request_coordinator", "RequestCoordinator", "_process_batch", seen_two)
    shared = shared_by(handover_folders)
    with server_process(handover_folders.old, start=start, **shared) as old:
        assert ask_order(old) == "success"
        ThriftClient(old.ports[0]).send("fetch", b"ms=1")
        assert old.process.wait(20) == 1
    with server_process(handover_folders.new, **shared) as new:
        assert new.event("hand-over taken: 1 keys") is not None
        assert_order_is_known(new)


def test_a_replacement_of_a_killed_process_runs_no_order_while_its_keys_are_valid(
    handover_folders: HandoverFolders,
) -> None:
    """Guards against taking the end of a process without a file for a proof that no order has run."""
    # Keys are valid for 3 s.
    shared = {"mgmt": True, "shared": handover_folders.shared, "given": MARKED_SETTINGS}
    with server_process(handover_folders.old, **shared) as old:
        listen = f"127.0.0.1:{old.ports[0]}"
        with server_process(handover_folders.new, listen=listen, **shared) as new:
            old_client = next(
                client
                for client in (ThriftClient(old.ports[0]) for _ in range(200))
                if client.ask("booking", b"seat 1", token="t")[0] == "success"  # the new one refuses a first attempt
            )
            assert old.engine.starts_by_body[b"seat 1"] == 1
            old.process.kill()
            assert old.process.wait(20) == -signal.SIGKILL
            killed_at = time.monotonic()
            gone = ("the old process has ended", "the old process is gone; keys open without its hand-over")
            until(lambda: any(new.event(name) for name in gone), "the end of the old process seen")
            assert old_client.ended.wait(20)
            client = connect_when_listening(new.ports[0])
            # A repeat waits for the keys in vain: it may have run, so that it must neither run nor be rejected.
            assert client.ask("booking", b"seat 1", token="t", again="1")[0] == "failed"
            assert client.ask("tide", b"ms=1")[0] == "success"  # a request without a key
            until(lambda: client.ask("booking", b"seat 2", token="u")[0] == "success", "an accepted key")
            assert time.monotonic() - killed_at > 2.9
            assert new.engine.starts_by_body[b"seat 1"] == 0
