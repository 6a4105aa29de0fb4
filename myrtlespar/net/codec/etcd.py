"""The messages of etcd's published v3 API that this project uses, as protobuf types: KV Range, DeleteRange and Txn,
Lease grant, keep-alive and revoke, Watch. Names and numbers are those of the API's documentation (rpc.proto,
kv.proto); fields that are not used are left out, as protobuf passes over what it does not know.
"""

from __future__ import annotations

from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

_TYPES = {"int64": 3, "uint64": 4, "int32": 5, "bool": 8, "string": 9, "bytes": 12}
_ONE, _MANY, _NESTED = 1, 3, 11
# message: fields as "number name type", "*" before a type that repeats, "|" before one of a choice
_KV = {
    "KeyValue": "1 key bytes, 2 create_revision int64, 3 mod_revision int64, 4 version int64, 5 value bytes, "
    "6 lease int64",
    "Event": "1 type int32, 2 kv KeyValue",  # 0 put, 1 delete
}
_RPC = {
    "ResponseHeader": "1 cluster_id uint64, 2 member_id uint64, 3 revision int64, 4 raft_term uint64",
    "RangeRequest": "1 key bytes, 2 range_end bytes, 3 limit int64",
    "RangeResponse": "1 header ResponseHeader, 2 kvs *KeyValue, 3 more bool, 4 count int64",
    "PutRequest": "1 key bytes, 2 value bytes, 3 lease int64",
    "PutResponse": "1 header ResponseHeader",
    "DeleteRangeRequest": "1 key bytes, 2 range_end bytes",
    "DeleteRangeResponse": "1 header ResponseHeader, 2 deleted int64",
    "RequestOp": "1 request_range |RangeRequest, 2 request_put |PutRequest, "
    "3 request_delete_range |DeleteRangeRequest",
    "ResponseOp": "1 response_range |RangeResponse, 2 response_put |PutResponse, "
    "3 response_delete_range |DeleteRangeResponse",
    # result: 0 equal, 1 greater, 2 less, 3 not equal; target: 0 version, 1 create, 2 mod, 3 value, 4 lease
    "Compare": "1 result int32, 2 target int32, 3 key bytes, 4 version |int64, 5 create_revision |int64, "
    "6 mod_revision |int64, 7 value |bytes, 8 lease |int64",
    "TxnRequest": "1 compare *Compare, 2 success *RequestOp, 3 failure *RequestOp",
    "TxnResponse": "1 header ResponseHeader, 2 succeeded bool, 3 responses *ResponseOp",
    "LeaseGrantRequest": "1 TTL int64, 2 ID int64",
    "LeaseGrantResponse": "1 header ResponseHeader, 2 ID int64, 3 TTL int64, 4 error string",
    "LeaseRevokeRequest": "1 ID int64",
    "LeaseRevokeResponse": "1 header ResponseHeader",
    "LeaseKeepAliveRequest": "1 ID int64",
    "LeaseKeepAliveResponse": "1 header ResponseHeader, 2 ID int64, 3 TTL int64",
    "WatchCreateRequest": "1 key bytes, 2 range_end bytes, 3 start_revision int64",
    "WatchRequest": "1 create_request |WatchCreateRequest",
    "WatchResponse": "1 header ResponseHeader, 2 watch_id int64, 3 created bool, 4 canceled bool, 11 events *Event",
}
TARGET_CREATE, TARGET_LEASE, EQUAL, PUT, DELETE = 1, 4, 0, 0, 1
# method: path, request, response, whether both sides stream
METHODS = {
    "range": ("/etcdserverpb.KV/Range", "RangeRequest", "RangeResponse", False),
    "delete": ("/etcdserverpb.KV/DeleteRange", "DeleteRangeRequest", "DeleteRangeResponse", False),
    "txn": ("/etcdserverpb.KV/Txn", "TxnRequest", "TxnResponse", False),
    "grant": ("/etcdserverpb.Lease/LeaseGrant", "LeaseGrantRequest", "LeaseGrantResponse", False),
    "revoke": ("/etcdserverpb.Lease/LeaseRevoke", "LeaseRevokeRequest", "LeaseRevokeResponse", False),
    "keep_alive": ("/etcdserverpb.Lease/LeaseKeepAlive", "LeaseKeepAliveRequest", "LeaseKeepAliveResponse", True),
    "watch": ("/etcdserverpb.Watch/Watch", "WatchRequest", "WatchResponse", True),
}


def _file(name: str, package: str, rows: dict[str, str], uses: list[str]) -> descriptor_pb2.FileDescriptorProto:
    out = descriptor_pb2.FileDescriptorProto(name=name, package=package, syntax="proto3", dependency=uses)
    for message, text in rows.items():
        kind = out.message_type.add(name=message)
        for part in text.split(", "):
            number, field, word = part.split()
            row = kind.field.add(name=field, number=int(number), label=_MANY if word[0] == "*" else _ONE)
            if word[0] == "|":
                if not kind.oneof_decl:
                    kind.oneof_decl.add(name="choice")
                row.oneof_index = 0
            bare = word.lstrip("*|")
            if bare in _TYPES:
                row.type = _TYPES[bare]  # type: ignore[assignment]
            else:
                row.type = _NESTED  # type: ignore[assignment]
                row.type_name = f".{'mvccpb' if bare in _KV else 'etcdserverpb'}.{bare}"
    return out


def _load() -> dict[str, Any]:
    pool = descriptor_pool.DescriptorPool()
    pool.Add(_file("kv.proto", "mvccpb", _KV, []))  # type: ignore[no-untyped-call]
    pool.Add(_file("rpc.proto", "etcdserverpb", _RPC, ["kv.proto"]))  # type: ignore[no-untyped-call]
    find = pool.FindMessageTypeByName
    return {
        name: message_factory.GetMessageClass(find(f"{package}.{name}"))  # type: ignore[no-untyped-call]
        for package, rows in (("mvccpb", _KV), ("etcdserverpb", _RPC))
        for name in rows
    }


TYPES: dict[str, Any] = _load()  # message classes by their names
