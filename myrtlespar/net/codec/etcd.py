"""Protobuf types for the part of etcd's v3 API that this project uses.

The calls are KV Range, DeleteRange and Txn, Lease grant, keep-alive and revoke, and Watch. Names and field numbers are
those of rpc.proto and kv.proto. Fields that are not used are left out, as protobuf ignores unknown fields.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

# Values of FieldDescriptorProto.Type and .Label in descriptor.proto.
_SCALAR_TYPES = {"int64": 3, "uint64": 4, "int32": 5, "bool": 8, "string": 9, "bytes": 12}
_TYPE_MESSAGE = 11
_LABEL_OPTIONAL = 1
_LABEL_REPEATED = 3

# Fields of each message as "number name type"; "*" before the type marks a repeated field, "|" a member of a oneof.
_KV_MESSAGES = {
    "KeyValue": "1 key bytes, 2 create_revision int64, 3 mod_revision int64, 4 version int64, 5 value bytes, "
    "6 lease int64",
    "Event": "1 type int32, 2 kv KeyValue",  # values of `type`: 0 put, 1 delete
}
_RPC_MESSAGES = {
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
COMPARE_EQUAL = 0
COMPARE_TARGET_CREATE = 1
COMPARE_TARGET_LEASE = 4
EVENT_PUT = 0
EVENT_DELETE = 1


class Method(NamedTuple):
    """One RPC of the API.

    Attributes:
        path: Path of the gRPC method.
        request: Name of the request message.
        response: Name of the response message.
        is_streaming: Whether requests and responses are both streams.
    """

    path: str
    request: str
    response: str
    is_streaming: bool


METHODS = {
    "range": Method("/etcdserverpb.KV/Range", "RangeRequest", "RangeResponse", False),
    "delete": Method("/etcdserverpb.KV/DeleteRange", "DeleteRangeRequest", "DeleteRangeResponse", False),
    "txn": Method("/etcdserverpb.KV/Txn", "TxnRequest", "TxnResponse", False),
    "grant": Method("/etcdserverpb.Lease/LeaseGrant", "LeaseGrantRequest", "LeaseGrantResponse", False),
    "revoke": Method("/etcdserverpb.Lease/LeaseRevoke", "LeaseRevokeRequest", "LeaseRevokeResponse", False),
    "keep_alive": Method("/etcdserverpb.Lease/LeaseKeepAlive", "LeaseKeepAliveRequest", "LeaseKeepAliveResponse", True),
    "watch": Method("/etcdserverpb.Watch/Watch", "WatchRequest", "WatchResponse", True),
}


def _file_descriptor(
    name: str, package: str, messages: dict[str, str], dependencies: list[str]
) -> descriptor_pb2.FileDescriptorProto:
    file = descriptor_pb2.FileDescriptorProto(name=name, package=package, syntax="proto3", dependency=dependencies)
    for message_name, fields in messages.items():
        message = file.message_type.add(name=message_name)
        for field in fields.split(", "):
            _add_field(message, field)
    return file


def _add_field(message: descriptor_pb2.DescriptorProto, text: str) -> None:
    """Add a field that is described as "number name type"."""
    number, name, marked_type = text.split()
    marker = marked_type[0]
    type_name = marked_type.lstrip("*|")
    label = _LABEL_REPEATED if marker == "*" else _LABEL_OPTIONAL
    field = message.field.add(name=name, number=int(number), label=label)
    if marker == "|":
        if not message.oneof_decl:
            message.oneof_decl.add(name="choice")
        field.oneof_index = 0
    if type_name in _SCALAR_TYPES:
        field.type = _SCALAR_TYPES[type_name]  # type: ignore[assignment]
    else:
        field.type = _TYPE_MESSAGE  # type: ignore[assignment]
        package = "mvccpb" if type_name in _KV_MESSAGES else "etcdserverpb"
        field.type_name = f".{package}.{type_name}"


def _load_types() -> dict[str, Any]:
    pool = descriptor_pool.DescriptorPool()
    kv_file = _file_descriptor("kv.proto", "mvccpb", _KV_MESSAGES, [])
    rpc_file = _file_descriptor("rpc.proto", "etcdserverpb", _RPC_MESSAGES, ["kv.proto"])
    pool.Add(kv_file)  # type: ignore[no-untyped-call]
    pool.Add(rpc_file)  # type: ignore[no-untyped-call]
    find = pool.FindMessageTypeByName
    return {
        name: message_factory.GetMessageClass(find(f"{package}.{name}"))  # type: ignore[no-untyped-call]
        for package, messages in (("mvccpb", _KV_MESSAGES), ("etcdserverpb", _RPC_MESSAGES))
        for name in messages
    }


TYPES: dict[str, Any] = _load_types()  # message classes by name
