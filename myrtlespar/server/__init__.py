"""The server process: start, reload, graceful shutdown and hand-over to a replacement.

- `main`: the entry point and the exit codes
- `application`: the connected components of the process
- `signal_handlers`: maps each signal to an operation of `reload`, `drain` or `termination`
- `termination`: decides between `drain` and `handover`
- `shutdown`: polls `state_machines.process.ProcessLifecycle`, which decides when each stage of a shutdown ends, and
  carries out the stages

`handover` only ends this process; `myrtlespar.handover` passes the idempotency keys to the replacement.
"""
