"""A client of etcd's v3 API over grpcio, for leases of ranges. Calls block a thread of gevent's pool, never the loop.

Each call has a deadline; whatever goes wrong is `None`, which says that nobody knows what became of it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import gevent
import grpc

from myrtlespar.net.codec.etcd import DELETE, EQUAL, METHODS, TARGET_CREATE, TARGET_LEASE, TYPES
from myrtlespar.quota.lease_session import EngineOperation, EngineReply, EngineRequest


class EtcdClient:
    """One channel. `prefix` names the fleet's keys; `freed` is called in the loop with a range whose key is gone."""

    def __init__(
        self,
        address: str,
        prefix: str,
        name: str,
        ttl_s: int,
        timeout_s: float,
        freed: Callable[[int], None],
        failed: Callable[[str], None],
    ) -> None:
        self.prefix, self.name, self.ttl_s, self.timeout_s = prefix, name, ttl_s, timeout_s
        self.freed, self.failed = freed, failed
        self.channel = grpc.insecure_channel(
            address,
            options=[
                ("grpc.max_reconnect_backoff_ms", 500),
                ("grpc.initial_reconnect_backoff_ms", 100),
                ("grpc.enable_retries", 0),
                ("grpc.keepalive_time_ms", 5000),
                ("grpc.keepalive_timeout_ms", 2000),
            ],
        )
        self._calls: dict[str, Any] = {}
        for word, (path, request, response, streams) in METHODS.items():
            make = self.channel.stream_stream if streams else self.channel.unary_unary
            self._calls[word] = make(
                path,
                request_serializer=TYPES[request].SerializeToString,
                response_deserializer=TYPES[response].FromString,
            )
        self._closing = False
        self._pool = gevent.get_hub().threadpool
        self._hub_call = gevent.get_hub().loop.run_callback_threadsafe

    def carry(self, request: EngineRequest) -> EngineReply | None:
        """One request to its answer. Waits, in the calling greenlet only."""
        reply: EngineReply | None = self._pool.apply(self._do, (request,))
        return reply

    def _do(self, request: EngineRequest) -> EngineReply | None:
        try:
            if request.operation is EngineOperation.GRANT:
                got = self._calls["grant"](TYPES["LeaseGrantRequest"](TTL=self.ttl_s), timeout=self.timeout_s)
                return EngineReply(lease_id=got.ID, ttl_ms=got.TTL * 1000.0)
            if request.operation is EngineOperation.KEEP:
                ask = iter([TYPES["LeaseKeepAliveRequest"](ID=request.lease_id)])
                got = next(self._calls["keep_alive"](ask, timeout=self.timeout_s))
                return EngineReply(ttl_ms=got.TTL * 1000.0)
            return self._take(request) if request.operation is EngineOperation.TAKE else self._drop(request)
        except (grpc.RpcError, StopIteration) as error:
            code = error.code().name.lower() if isinstance(error, grpc.Call) else "ended"
            if code == "not_found" and request.operation is not EngineOperation.GRANT:  # the lease is gone
                return EngineReply(ttl_ms=0.0) if request.operation is EngineOperation.KEEP else EngineReply()
            self.failed(code)
            return None

    def _key(self, rng: int) -> bytes:
        return f"{self.prefix}{rng}".encode()

    def _take(self, request: EngineRequest) -> EngineReply:
        """Make the key if there is none; if there is one, whose?"""
        key = self._key(request.shard_id)
        txn = TYPES["TxnRequest"]()
        txn.compare.add(result=EQUAL, target=TARGET_CREATE, key=key, create_revision=0)
        put = txn.success.add().request_put
        put.key, put.value, put.lease = key, self.name.encode(), request.lease_id
        txn.failure.add().request_range.key = key
        got = self._calls["txn"](txn, timeout=self.timeout_s)
        if got.succeeded:
            return EngineReply(epoch=got.header.revision)
        for row in got.responses[0].response_range.kvs if got.responses else ():
            if row.lease == request.lease_id:  # an earlier try whose answer was lost
                return EngineReply(epoch=row.create_revision)
        return EngineReply()

    def _drop(self, request: EngineRequest) -> EngineReply:
        txn, key = TYPES["TxnRequest"](), self._key(request.shard_id)
        txn.compare.add(result=EQUAL, target=TARGET_LEASE, key=key, lease=request.lease_id)
        txn.success.add().request_delete_range.key = key
        self._calls["txn"](txn, timeout=self.timeout_s)
        return EngineReply()

    def revoke(self, lease: int) -> None:
        """End the lease, if the engine can be reached: all that hangs on it is free at once."""

        def end() -> None:
            try:
                self._calls["revoke"](TYPES["LeaseRevokeRequest"](ID=lease), timeout=self.timeout_s)
            except grpc.RpcError as error:
                self.failed(error.code().name.lower())

        self._pool.apply(end)

    def watch(self) -> None:
        """Follow deletions of the fleet's keys from now on, in a thread of its own, until closed."""
        threading.Thread(target=self._watch, daemon=True).start()

    def _watch(self) -> None:
        first = self.prefix.encode()
        last = first[:-1] + bytes([first[-1] + 1])
        while not self._closing:
            more = threading.Event()

            def asks(more: threading.Event = more) -> Any:
                ask = TYPES["WatchRequest"]()
                ask.create_request.key, ask.create_request.range_end = first, last
                yield ask
                more.wait()  # keeps our side open as long as the stream

            try:
                for got in self._calls["watch"](asks()):
                    for event in got.events:
                        word = event.kv.key[len(first) :].decode("ascii", "replace")
                        if event.type == DELETE and word.isdigit():
                            self._hub_call(self.freed, int(word))
            except grpc.RpcError:
                pass
            more.set()
            threading.Event().wait(0.2)

    def close(self) -> None:
        """End the channel."""
        self._closing = True
        self.channel.close()
