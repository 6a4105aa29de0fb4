"""The state machines that the server runs on: tries, keys, commands, store calls, connections, the process.

Pure: no socket, file, greenlet, clock or random source. Time and observations come in as arguments, effects go
out as values. Each machine is a table of states and events; what has no entry is counted as impossible, never
passed over in silence. `myrtlespar.model_checker` explores these very classes. What is let in, when it runs and what is
turned away is not decided here but in `decide.py`.
"""

from myrtlespar.state_machines.attempts import TRY
from myrtlespar.state_machines.client_connection import CONN
from myrtlespar.state_machines.dependency_calls import CALL, WIRE
from myrtlespar.state_machines.engine_link import COMMAND, LINK
from myrtlespar.state_machines.idempotency_keys import KEY
from myrtlespar.state_machines.process import PROCESS

TABLES = (TRY, KEY, PROCESS, LINK, COMMAND, CALL, WIRE, CONN)
