"""Client of etcd's v3 API over grpcio, for leases of shards.

Calls block a thread of gevent's pool, never the event loop. Each call has a deadline; if a call fails, its result is
None, as it is not known whether it took effect.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import gevent
import grpc

from myrtlespar.net.codec.etcd import (
    COMPARE_EQUAL,
    COMPARE_TARGET_CREATE,
    COMPARE_TARGET_LEASE,
    EVENT_DELETE,
    METHODS,
    TYPES,
)
from myrtlespar.quota.lease_session import EngineOperation, EngineReply, EngineRequest

MS_PER_S = 1000.0
WATCH_RETRY_S = 0.2  # before a watch that ended is started again
CHANNEL_OPTIONS = [
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.enable_retries", 0),
    ("grpc.keepalive_time_ms", 5000),
    ("grpc.keepalive_timeout_ms", 2000),
]


class EtcdClient:
    """Client of one etcd endpoint, over one channel."""

    def __init__(
        self,
        address: str,
        prefix: str,
        name: str,
        ttl_s: int,
        timeout_s: float,
        shard_freed: Callable[[int], None],
        request_failed: Callable[[str], None],
    ) -> None:
        """Open the channel.

        Args:
            address: The endpoint.
            prefix: Prefix of all keys of the fleet.
            name: Value of the keys that this member creates.
            ttl_s: Time to live of leases.
            timeout_s: Deadline of each call.
            shard_freed: Called in the event loop with the number of a shard whose key was deleted.
            request_failed: Called in a thread with the status code of a call that failed.
        """
        self.prefix = prefix
        self.name = name
        self.ttl_s = ttl_s
        self.timeout_s = timeout_s
        self.shard_freed = shard_freed
        self.request_failed = request_failed
        self.channel = grpc.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._calls = self._make_calls()
        self._closing = False
        self._pool = gevent.get_hub().threadpool
        self._call_in_loop = gevent.get_hub().loop.run_callback_threadsafe

    def execute(self, request: EngineRequest) -> EngineReply | None:
        """Execute one request; blocks only the calling greenlet. Returns None if the outcome is unknown."""
        reply: EngineReply | None = self._pool.apply(self._execute, (request,))
        return reply

    def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes all keys attached to it; a failure is only reported to `request_failed`."""
        self._pool.apply(self._revoke, (lease,))

    def watch(self) -> None:
        """Start a thread that watches for deletions of the fleet's keys until `close`."""
        threading.Thread(target=self._watch, daemon=True).start()

    def close(self) -> None:
        """Close the channel and end the thread of `watch`."""
        self._closing = True
        self.channel.close()

    def _make_calls(self) -> dict[str, Any]:
        calls: dict[str, Any] = {}
        for name, method in METHODS.items():
            make_call = self.channel.stream_stream if method.is_streaming else self.channel.unary_unary
            calls[name] = make_call(
                method.path,
                request_serializer=TYPES[method.request].SerializeToString,
                response_deserializer=TYPES[method.response].FromString,
            )
        return calls

    def _execute(self, request: EngineRequest) -> EngineReply | None:
        operations = {
            EngineOperation.GRANT: self._grant_lease,
            EngineOperation.KEEP: self._keep_lease_alive,
            EngineOperation.TAKE: self._create_key,
            EngineOperation.DROP: self._delete_key,
        }
        try:
            return operations[request.operation](request)
        except (grpc.RpcError, StopIteration) as error:
            code = error.code().name.lower() if isinstance(error, grpc.Call) else "ended"
            if code == "not_found" and request.operation is not EngineOperation.GRANT:  # the lease has expired
                return EngineReply(ttl_ms=0.0) if request.operation is EngineOperation.KEEP else EngineReply()
            self.request_failed(code)
            return None

    def _grant_lease(self, _: EngineRequest) -> EngineReply:
        reply = self._calls["grant"](TYPES["LeaseGrantRequest"](TTL=self.ttl_s), timeout=self.timeout_s)
        return EngineReply(lease_id=reply.ID, ttl_ms=reply.TTL * MS_PER_S)

    def _keep_lease_alive(self, request: EngineRequest) -> EngineReply:
        stream = iter([TYPES["LeaseKeepAliveRequest"](ID=request.lease_id)])
        reply = next(self._calls["keep_alive"](stream, timeout=self.timeout_s))
        return EngineReply(ttl_ms=reply.TTL * MS_PER_S)

    def _create_key(self, request: EngineRequest) -> EngineReply:
        """Create the shard's key if it does not exist; the reply has an epoch if the key is attached to our lease."""
        key = self._key(request.shard_id)
        transaction = TYPES["TxnRequest"]()
        transaction.compare.add(result=COMPARE_EQUAL, target=COMPARE_TARGET_CREATE, key=key, create_revision=0)
        put = transaction.success.add().request_put
        put.key = key
        put.value = self.name.encode()
        put.lease = request.lease_id
        transaction.failure.add().request_range.key = key
        reply = self._calls["txn"](transaction, timeout=self.timeout_s)
        if reply.succeeded:
            return EngineReply(epoch=reply.header.revision)
        for row in reply.responses[0].response_range.kvs if reply.responses else ():
            if row.lease == request.lease_id:  # created by an earlier attempt whose answer was lost
                return EngineReply(epoch=row.create_revision)
        return EngineReply()

    def _delete_key(self, request: EngineRequest) -> EngineReply:
        """Delete the shard's key if it is attached to our lease."""
        key = self._key(request.shard_id)
        transaction = TYPES["TxnRequest"]()
        transaction.compare.add(result=COMPARE_EQUAL, target=COMPARE_TARGET_LEASE, key=key, lease=request.lease_id)
        transaction.success.add().request_delete_range.key = key
        self._calls["txn"](transaction, timeout=self.timeout_s)
        return EngineReply()

    def _key(self, shard_id: int) -> bytes:
        return f"{self.prefix}{shard_id}".encode()

    def _revoke(self, lease: int) -> None:
        try:
            self._calls["revoke"](TYPES["LeaseRevokeRequest"](ID=lease), timeout=self.timeout_s)
        except grpc.RpcError as error:
            self.request_failed(error.code().name.lower())

    def _watch(self) -> None:
        first = self.prefix.encode()
        end = first[:-1] + bytes([first[-1] + 1])  # first key after all keys with the prefix
        while not self._closing:
            stream_ended = threading.Event()
            try:
                for reply in self._calls["watch"](_watch_requests(first, end, stream_ended)):
                    for event in reply.events:
                        self._key_changed(event, first)
            except grpc.RpcError:
                pass
            stream_ended.set()
            threading.Event().wait(WATCH_RETRY_S)

    def _key_changed(self, event: Any, prefix: bytes) -> None:
        shard_id = event.kv.key[len(prefix) :].decode("ascii", "replace")
        if event.type == EVENT_DELETE and shard_id.isdigit():
            self._call_in_loop(self.shard_freed, int(shard_id))


def _watch_requests(first: bytes, end: bytes, stream_ended: threading.Event) -> Any:
    """Yield the requests of a watch: only one, but keep the stream of requests open until the watch ends."""
    request = TYPES["WatchRequest"]()
    request.create_request.key = first
    request.create_request.range_end = end
    yield request
    stream_ended.wait()
