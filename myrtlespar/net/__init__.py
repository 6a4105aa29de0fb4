"""All network I/O: listeners for clients, clients of the upstream services, the peer link, the admin server.

- Clients: `listener` and `client_connection` are common to `thrift_front` and `ajp_front`; `thrift_requests` and
  `ajp_requests` turn messages into an `Exchange`. `listener.Listener` lists the steps of a graceful shutdown.
- Engines that run requests: `engine_client` (the execution engine) and `ajp_backends` (AJP servers).
- Other upstream services: `dependency_client` and `registry_client`.
- The fleet: `peer_transport` with `peer_datagrams`, `peer_sync` and `name_conflict`. Its limits use `etcd_client` for
  leases and `budget_file` for the budget journal of a voter.
- Operators: `admin_server`.
- Sockets: `binding`, `connections`, `outbox` (sending) and `socket_reader` (receiving).

`net.codec` converts between bytes and messages. The modules here read and write the bytes, and report to the request
coordinator and the state machines, which decide whether a request is admitted, retried or rejected. After
`server.reload` has accepted a changed configuration, it passes new addresses to the `move` methods of the clients.
"""
