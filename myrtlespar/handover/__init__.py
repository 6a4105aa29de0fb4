"""The hand-over of idempotency keys from a process to its replacement, through the shared `$TMPDIR`.

It prevents a retry from running a request again in the replacement that has run in the old process. Requests without
a key are not concerned: their clients reconnect. `keys_file` is the format of the hand-over file, `receiver` the pure
state machine of the replacement, `folder` the storage, and `driver` connects them to the request coordinator. The old
process's side of the signal is `myrtlespar.server.handover`.
"""
