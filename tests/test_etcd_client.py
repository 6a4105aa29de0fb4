"""The etcd client with a fake etcd."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest
from gevent.event import Event

from myrtlespar.fakes.etcd import EtcdState, serve
from myrtlespar.fakes.tcp_server import until
from myrtlespar.net.etcd_client import EtcdClient
from myrtlespar.quota.lease_session import EngineOperation, EngineReply, EngineRequest

TTL_S = 2
MAX_WAIT_S = 20.0
RENEWAL_INTERVAL_S = 0.1


class ReleasedShards:
    """Records the shards whose keys etcd reports as deleted."""

    def __init__(self) -> None:
        self.shards: set[int] = set()
        self.changed = Event()

    def add(self, shard_id: int) -> None:
        self.shards.add(shard_id)
        self.changed.set()

    def wait_for(self, shards: set[int]) -> None:
        """Wait until all of these were reported."""
        deadline = time.monotonic() + MAX_WAIT_S
        while not shards <= self.shards:
            self.changed.clear()
            assert self.changed.wait(deadline - time.monotonic()), (shards, self.shards)


@pytest.fixture
def engine() -> Iterator[tuple[EtcdState, str]]:
    state = EtcdState()
    server, port = serve(state)
    yield state, f"127.0.0.1:{port}"
    server.stop(0)


def client(address: str, name: str, released: ReleasedShards | None = None) -> EtcdClient:
    released = released or ReleasedShards()
    return EtcdClient(address, "/t/", name, TTL_S, 1.0, released.add, lambda code: None)


def reply_to(client: EtcdClient, operation: EngineOperation, lease_id: int = 0, shard_id: int = 0) -> EngineReply:
    reply = client.execute(EngineRequest(operation, 0.0, lease_id, shard_id))
    assert reply is not None
    return reply


def test_one_lease_at_a_time_has_a_shard_and_each_has_a_greater_epoch(engine: tuple[EtcdState, str]) -> None:
    state, address = engine
    released = ReleasedShards()
    a = client(address, "a")
    b = client(address, "b", released)
    b.watch()
    until(lambda: state.watchers, "watch")
    lease_a = reply_to(a, EngineOperation.GRANT).lease_id
    lease_b = reply_to(b, EngineOperation.GRANT).lease_id
    epoch = reply_to(a, EngineOperation.TAKE, lease_a, 3).epoch
    assert epoch > 0
    assert reply_to(b, EngineOperation.TAKE, lease_b, 3).epoch == 0
    assert reply_to(a, EngineOperation.TAKE, lease_a, 3).epoch == epoch  # a repeated request, as after a lost reply
    reply_to(b, EngineOperation.DROP, lease_b, 3)  # another lease's key: nothing changes
    assert reply_to(b, EngineOperation.TAKE, lease_b, 3).epoch == 0
    assert reply_to(a, EngineOperation.KEEP, lease_a).ttl_ms == 2000
    reply_to(a, EngineOperation.DROP, lease_a, 3)
    assert reply_to(b, EngineOperation.TAKE, lease_b, 3).epoch > epoch
    assert reply_to(a, EngineOperation.TAKE, lease_a, 4).epoch > 0
    a.revoke(lease_a)
    released.wait_for({3, 4})
    assert reply_to(b, EngineOperation.TAKE, lease_b, 4).epoch > 0
    assert reply_to(a, EngineOperation.KEEP, lease_a).ttl_ms == 0
    assert reply_to(a, EngineOperation.TAKE, lease_a, 5) == EngineReply()
    a.close()
    b.close()


def test_a_lease_that_is_not_renewed_ends_with_all_its_keys(engine: tuple[EtcdState, str]) -> None:
    state, address = engine
    released = ReleasedShards()
    a = client(address, "a")
    b = client(address, "b", released)
    b.watch()
    until(lambda: state.watchers, "watch")
    lease_a = reply_to(a, EngineOperation.GRANT).lease_id
    assert reply_to(a, EngineOperation.TAKE, lease_a, 1).epoch
    lease_b = reply_to(b, EngineOperation.GRANT).lease_id
    assert reply_to(b, EngineOperation.TAKE, lease_b, 1).epoch == 0
    deadline = time.monotonic() + MAX_WAIT_S
    while not released.changed.wait(RENEWAL_INTERVAL_S) and time.monotonic() < deadline:
        reply_to(b, EngineOperation.KEEP, lease_b)
    assert reply_to(b, EngineOperation.TAKE, lease_b, 1).epoch
    assert state.keys[b"/t/1"].value == b"b"
    assert lease_a not in state.leases
    a.close()
    b.close()


def test_an_unreachable_engine_gives_no_reply() -> None:
    unreachable = EtcdClient("127.0.0.1:1", "/t/", "a", TTL_S, 0.2, lambda shard_id: None, lambda code: None)
    assert unreachable.execute(EngineRequest(EngineOperation.GRANT, 0.0)) is None
    unreachable.close()
