"""The server process: start, reload, graceful shutdown and hand-over to a replacement.

`main` holds the start and the exit codes, `application` the connected parts, `signal_handlers` the operation of each
signal, `reload`, `drain` and `handover` those operations, `shutdown` the stages up to the last answer.
"""
