"""The hand-over of idempotency keys from a process to its replacement, through the shared `$TMPDIR`.

Without it, a retry would run a request again in the replacement although it already ran in the old process. Requests
without a key are not affected: their clients reconnect. `keys_file` is the format of the hand-over file, `receiver` the
pure state machine of the replacement, `folder` the storage, and `driver` connects them to the request coordinator.
`myrtlespar.server.handover` handles the signal that begins a hand-over in the old process.
"""
