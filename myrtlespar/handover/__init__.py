"""The hand-over of idempotency keys from a process to its replacement, through the shared `$TMPDIR`.

`keys_file` is the format of the hand-over file, `receiver` the pure state machine of the replacement, `folder` the
storage, and `driver` connects them to the request coordinator.
"""
