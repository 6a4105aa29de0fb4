"""The hand-over of idempotency keys from a process to the one that replaces it, through the shared `$TMPDIR`."""
