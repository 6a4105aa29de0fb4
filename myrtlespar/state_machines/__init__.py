"""The state machines that the server runs on: tries, keys, commands, store calls, connections, the process.

Pure: no socket, file, greenlet, clock or random source. Time and observations come in as arguments, effects go
out as values. Each machine is a table of states and events; what has no entry is counted as impossible, never
passed over in silence. `myrtlespar.model_checker` explores these very classes. What is let in, when it runs and what is
turned away is not decided here but in `decide.py`.
"""

from myrtlespar.state_machines.attempts import ATTEMPT_TABLE
from myrtlespar.state_machines.client_connection import CONNECTION_TABLE
from myrtlespar.state_machines.dependency_calls import CALL_TABLE, DEPENDENCY_CONNECTION_TABLE
from myrtlespar.state_machines.engine_link import COMMAND_TABLE, LINK_TABLE
from myrtlespar.state_machines.idempotency_keys import KEY_TABLE
from myrtlespar.state_machines.process import PROCESS_TABLE

TABLES = (
    ATTEMPT_TABLE,
    KEY_TABLE,
    PROCESS_TABLE,
    LINK_TABLE,
    COMMAND_TABLE,
    CALL_TABLE,
    DEPENDENCY_CONNECTION_TABLE,
    CONNECTION_TABLE,
)
