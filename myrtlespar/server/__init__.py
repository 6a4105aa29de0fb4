"""The server process: start, reload, graceful shutdown and hand-over to a replacement.

`main` holds the start and the exit codes, `application` the connected parts, `signal_handlers` the operation of each
signal, `reload`, `drain` and `handover` those operations. `shutdown` polls `state_machines.process.ProcessLifecycle`,
which decides when each stage of a shutdown ends, and carries out the stages. `handover` ends this process; the
idempotency keys that pass to the replacement are the job of `myrtlespar.handover`.
"""
