"""The idempotency keys of a process that ends are published before it is killed, however many there are."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from myrtlespar.fakes import ServerProcess, ThriftClient, server_process, until
from tests.conftest import HandoverFolders
from tests.modified_programs import program_that_is_slow
from tests.request_classes import class_settings

OPERATOR = '[idempotency]\nthrift_field = "key"\nremember_ms = 60000\nmost = 4096\n'
TIMEOUT_MS = 6000.0  # the longest client timeout
HANDOVER_S = 3.7  # from SIGTERM to SIGKILL in a hand-over: that timeout, 3 s at most, and 0.7 s
SLOW = b"ms=60000 slow"
CONNECTIONS = 4


def body_of(number: int) -> bytes:
    return b"ms=1 order %d" % number


def run_orders(port: int, count: int) -> None:
    """Have the server run orders with the keys `k-0`, `k-1` and so on."""

    def run(numbers: range) -> None:
        client = ThriftClient(port)
        for number in numbers:
            until(lambda: client.ask("order", body_of(number), key=f"k-{number}")[0] == "success")  # noqa: B023

    threads = [threading.Thread(target=run, args=(range(n, count, CONNECTIONS),)) for n in range(CONNECTIONS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@contextmanager
def process_with_keys(folders: HandoverFolders, keys: int, ms_per_key: float, stop_ms: int) -> Iterator[ServerProcess]:
    """A process that has run this many orders and has an unanswered request.

    It takes some ms of CPU time to write a key, as with a small share of a core.
    """
    start = program_that_is_slow(folders.old, "handover", "keys_file", "_encode_row", ms_per_key)
    with server_process(folders.old, start=start, given=given(stop_ms), **shared(folders)) as old:
        run_orders(old.ports[0], keys)
        slow = ThriftClient(old.ports[0])
        slow.send("order", SLOW, key="k-slow")
        until(lambda: old.engine.starts_by_body[SLOW], "the slow run")
        yield old
        assert until(lambda: slow.answers, "the answer to the slow request") == {1: ("failed", slow.answers[1][1])}


def given(stop_ms: int) -> dict[str, Any]:
    return {"stop_ms": stop_ms, "settings": class_settings(("order", "single_shot", TIMEOUT_MS))}


def shared(folders: HandoverFolders) -> dict[str, Any]:
    return {"mgmt": True, "shared": folders.shared, "operator": OPERATOR}


def assert_repeats_get_their_outcome(new: ServerProcess, keys: int, expected_keys: int) -> None:
    until(lambda: new.event(f"hand-over taken: {expected_keys} keys"), "the keys received")
    client = ThriftClient(new.ports[0])
    for number in {0, keys // 2, keys - 1}:
        assert client.ask("order", body_of(number), key=f"k-{number}", again="1")[0] == "success"
    assert client.ask("order", SLOW, key="k-slow", again="1")[0] == "failed"
    assert not new.engine.starts_by_body


@pytest.mark.parametrize(("keys", "ms_per_key"), [(20, 10.0), (300, 2.0), (1200, 0.5), (100, 12.0)])
def test_a_replaced_process_publishes_its_keys_before_the_kill(
    handover_folders: HandoverFolders, keys: int, ms_per_key: float
) -> None:
    """Guards against keys that are written only after the last answer: the kill came first, and orders ran twice."""
    with process_with_keys(handover_folders, keys, ms_per_key, stop_ms=8000) as old:
        listen = f"127.0.0.1:{old.ports[0]}"
        with server_process(handover_folders.new, listen=listen, given=given(8000), **shared(handover_folders)) as new:
            old.stop_within(HANDOVER_S)
            assert_repeats_get_their_outcome(new, keys, keys + 1)


@pytest.mark.parametrize(("keys", "ms_per_key", "stop_ms"), [(80, 4.0, 1000), (200, 2.0, 2000), (250, 4.0, 3200)])
def test_a_process_without_a_replacement_publishes_its_keys_before_its_stop_time(
    handover_folders: HandoverFolders, keys: int, ms_per_key: float, stop_ms: int
) -> None:
    """Guards against the same in a graceful shutdown, whose keys are for the next process."""
    with process_with_keys(handover_folders, keys, ms_per_key, stop_ms) as old:
        old.stop_within(stop_ms / 1000.0)
        with server_process(handover_folders.new, given=given(stop_ms), **shared(handover_folders)) as new:
            assert_repeats_get_their_outcome(new, keys, keys + 1)


def test_a_client_that_never_stops_sending_does_not_hold_up_the_keys(handover_folders: HandoverFolders) -> None:
    """Guards against a hand-over that stays open until the kill, as there is always another request to answer."""
    with server_process(handover_folders.old, given=given(8000), **shared(handover_folders)) as old:
        run_orders(old.ports[0], 50)
        clients = [ThriftClient(old.ports[0]) for _ in range(8)]
        ended = threading.Event()

        def flood(client: ThriftClient) -> None:
            """Keep four requests open: send another one for each answer, like a client that ignores `shutdown`."""
            unanswered: list[int] = []
            try:
                while not ended.is_set() and not client.ended.is_set():
                    unanswered = [seq for seq in unanswered if seq not in client.answers]
                    unanswered += [client.send("order", b"ms=300 flood") for _ in range(4 - len(unanswered))]
                    client.ended.wait(0.002)
            except OSError:
                pass

        listen = f"127.0.0.1:{old.ports[0]}"
        with server_process(handover_folders.new, listen=listen, given=given(8000), **shared(handover_folders)) as new:
            floods = [threading.Thread(target=flood, args=(client,), daemon=True) for client in clients]
            for thread in floods:
                thread.start()
            until(lambda: old.engine.starts_by_body[b"ms=300 flood"], "a run of the flood")
            old.stop_within(HANDOVER_S)
            ended.set()
            assert sum(client.seq for client in clients) > 2 * 4 * len(clients)  # they went on for more than one round
            until(lambda: new.event("hand-over taken: 50 keys"), "the keys received")
