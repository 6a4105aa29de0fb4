"""A fake etcd: the part of the published v3 API that the project uses, with all data in memory.

    python -m myrtlespar.fakes.etcd     # prints its port; runs until its standard input ends

One lock orders all changes, and each change of a key has a revision. The expiry of a lease deletes its keys. Watchers
are notified of every change. The data is lost when the process ends.
"""

from __future__ import annotations

import json
import queue
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import Any

import grpc

from myrtlespar.net.codec.etcd import (
    COMPARE_TARGET_CREATE,
    COMPARE_TARGET_LEASE,
    EVENT_DELETE,
    EVENT_PUT,
    METHODS,
    TYPES,
)

EXPIRY_POLL_S = 0.02
MAX_THREADS = 256  # each watch and each keep-alive stream occupies one thread


@dataclass
class Lease:
    """A lease: its time to live, its expiry in seconds of the monotonic clock, and the keys attached to it."""

    ttl_s: int
    expires_at: float
    keys: set[bytes] = field(default_factory=set)


class EtcdState:
    """Keys, leases and watchers under one lock."""

    def __init__(self) -> None:
        self.lock = threading.RLock()
        self.revision = 1
        self.next_lease = 1000
        self.keys: dict[bytes, Any] = {}
        self.leases: dict[int, Lease] = {}
        self.watchers: list[tuple[bytes, bytes, queue.Queue[Any]]] = []

    def header(self) -> Any:
        """Return the header for a response, with the present revision."""
        return TYPES["ResponseHeader"](cluster_id=1, member_id=1, revision=self.revision, raft_term=1)

    def put(self, key: bytes, value: bytes, lease: int) -> None:
        """Set a key at the present revision and notify watchers."""
        old = self.keys.get(key)
        if old is not None and old.lease:
            self.leases[old.lease].keys.discard(key)
        self.keys[key] = TYPES["KeyValue"](
            key=key,
            value=value,
            lease=lease,
            mod_revision=self.revision,
            version=old.version + 1 if old else 1,
            create_revision=old.create_revision if old else self.revision,
        )
        if lease:
            self.leases[lease].keys.add(key)
        self._notify(EVENT_PUT, self.keys[key])

    def delete(self, first: bytes, last: bytes) -> int:
        """Delete the keys from `first` to before `last`, or only `first` if `last` is empty; return their number."""
        gone = [key for key in self.keys if key == first or (last and first <= key < last)]
        for key in gone:
            row = self.keys.pop(key)
            if row.lease in self.leases:
                self.leases[row.lease].keys.discard(key)
            self._notify(EVENT_DELETE, TYPES["KeyValue"](key=key, mod_revision=self.revision))
        return len(gone)

    def end(self, lease: int) -> None:
        """End a lease and delete the keys attached to it."""
        one = self.leases.pop(lease)
        if one.keys:
            self.revision += 1
        for key in list(one.keys):
            self.delete(key, b"")

    def _notify(self, kind: int, row: Any) -> None:
        event = TYPES["Event"](type=kind, kv=row)
        for first, last, rows in self.watchers:
            if row.key == first or (last and first <= row.key < last):
                rows.put(TYPES["WatchResponse"](header=self.header(), events=[event]))

    def expire(self) -> None:
        """End leases when they expire. Never returns."""
        while True:
            with self.lock:
                now = time.monotonic()
                for lease in [lease for lease, one in self.leases.items() if one.expires_at <= now]:
                    self.end(lease)
            time.sleep(EXPIRY_POLL_S)


class EtcdService:
    """The RPC methods, with the names in METHODS of the codec."""

    def __init__(self, state: EtcdState) -> None:
        self.state = state

    def range(self, request: Any, _: grpc.ServicerContext) -> Any:
        """Read a key or a range of keys."""
        with self.state.lock:
            return self._range(request)

    def _range(self, request: Any) -> Any:
        rows = [
            row
            for key, row in sorted(self.state.keys.items())
            if key == request.key or (request.range_end and request.key <= key < request.range_end)
        ]
        shown = rows[: request.limit] if request.limit else rows
        return TYPES["RangeResponse"](
            header=self.state.header(), kvs=shown, count=len(rows), more=len(shown) < len(rows)
        )

    def delete(self, request: Any, _: grpc.ServicerContext) -> Any:
        """Delete a key or a range of keys."""
        with self.state.lock:
            self.state.revision += 1
            many = self.state.delete(request.key, request.range_end)
            return TYPES["DeleteRangeResponse"](header=self.state.header(), deleted=many)

    def txn(self, request: Any, context: grpc.ServicerContext) -> Any:
        """Evaluate all comparisons, then carry out the success operations if all hold, else the failure operations."""
        with self.state.lock:
            good = all(self._same(row) for row in request.compare)
            steps = request.success if good else request.failure
            for step in steps:
                if (
                    step.HasField("request_put")
                    and step.request_put.lease
                    and step.request_put.lease not in self.state.leases
                ):
                    context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
            if any(not step.HasField("request_range") for step in steps):
                self.state.revision += 1
            out = TYPES["TxnResponse"](succeeded=good)
            for step in steps:
                row = out.responses.add()
                if step.HasField("request_put"):
                    put = step.request_put
                    self.state.put(put.key, put.value, put.lease)
                    row.response_put.header.CopyFrom(self.state.header())
                elif step.HasField("request_delete_range"):
                    one = step.request_delete_range
                    row.response_delete_range.deleted = self.state.delete(one.key, one.range_end)
                else:
                    row.response_range.CopyFrom(self._range(step.request_range))
            out.header.CopyFrom(self.state.header())
            return out

    def _same(self, row: Any) -> bool:
        kept = self.state.keys.get(row.key)
        if row.target == COMPARE_TARGET_CREATE:
            return bool((kept.create_revision if kept else 0) == row.create_revision)
        if row.target == COMPARE_TARGET_LEASE:
            return bool(kept is not None and kept.lease == row.lease)
        return bool(kept is not None and kept.mod_revision == row.mod_revision)

    def grant(self, request: Any, _: grpc.ServicerContext) -> Any:
        """Grant a lease."""
        with self.state.lock:
            self.state.next_lease += 1
            lease = request.ID or self.state.next_lease
            self.state.leases[lease] = Lease(request.TTL, time.monotonic() + request.TTL)
            return TYPES["LeaseGrantResponse"](header=self.state.header(), ID=lease, TTL=request.TTL)

    def revoke(self, request: Any, context: grpc.ServicerContext) -> Any:
        """End a lease."""
        with self.state.lock:
            if request.ID not in self.state.leases:
                context.abort(grpc.StatusCode.NOT_FOUND, "etcdserver: requested lease not found")
            self.state.end(request.ID)
            return TYPES["LeaseRevokeResponse"](header=self.state.header())

    def keep_alive(self, requests: Iterator[Any], _: grpc.ServicerContext) -> Iterator[Any]:
        """Renew leases as long as the client sends requests."""
        for request in requests:
            with self.state.lock:
                one = self.state.leases.get(request.ID)
                if one is not None:
                    one.expires_at = time.monotonic() + one.ttl_s
                yield TYPES["LeaseKeepAliveResponse"](
                    header=self.state.header(), ID=request.ID, TTL=one.ttl_s if one else 0
                )

    def watch(self, requests: Iterator[Any], context: grpc.ServicerContext) -> Iterator[Any]:
        """Stream the changes of a key or range; one watch per stream."""
        created = next(requests).create_request
        rows: queue.Queue[Any] = queue.Queue()
        entry = (created.key, created.range_end, rows)
        with self.state.lock:
            self.state.watchers.append(entry)
            yield TYPES["WatchResponse"](header=self.state.header(), created=True)
        context.add_callback(lambda: rows.put(None))
        while (row := rows.get()) is not None:
            yield row
        with self.state.lock:
            self.state.watchers.remove(entry)


def serve(state: EtcdState) -> tuple[grpc.Server, int]:
    """Listen on a free port of 127.0.0.1, and return the server and the port."""
    server = grpc.server(ThreadPoolExecutor(MAX_THREADS))
    service = EtcdService(state)
    by_service: dict[str, dict[str, Any]] = {}
    for method_name, (path, request, response, streams) in METHODS.items():
        _, name, method = path.split("/")
        make = grpc.stream_stream_rpc_method_handler if streams else grpc.unary_unary_rpc_method_handler
        by_service.setdefault(name, {})[method] = make(
            getattr(service, method_name),
            request_deserializer=TYPES[request].FromString,
            response_serializer=TYPES[response].SerializeToString,
        )
    server.add_generic_rpc_handlers(
        tuple(grpc.method_handlers_generic_handler(name, rows) for name, rows in by_service.items())
    )
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    threading.Thread(target=state.expire, daemon=True).start()
    return server, port


def main() -> int:
    """Print the port, and serve until the standard input ends."""
    server, port = serve(EtcdState())
    print(json.dumps({"port": port}), flush=True)
    sys.stdin.read()
    server.stop(0)
    return 0


if __name__ == "__main__":
    sys.exit(main())
