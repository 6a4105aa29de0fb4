"""The state machines that track requests, connections and the server process.

- `request_tracker`: the attempts of requests (`attempts`) and their `idempotency_keys`
- `process`: the lifecycle of the server process
- `command_log`: the commands to the execution engine and the link that carries them (`engine_link`)
- `dependency_calls`: the calls to the dependency and its connections (`dependency_tables`)
- `client_connection`: the connections of clients
- `lost_runs`: detection of runs that the execution engine lost
- `silence_watch`: detection of peers that no longer answer

The package is pure: it uses no socket, file, greenlet, clock or random source. Times and observations are arguments,
effects are return values. Each machine has a `TransitionTable`; an event that has no transition in the current state
changes nothing and is counted as `impossible.MACHINE.STATE.EVENT`. `myrtlespar.model_checker` explores these classes
themselves, not a separate model. Admission, scheduling and load shedding are decided in `myrtlespar.policy`, not here.
"""

from myrtlespar.state_machines.attempts import ATTEMPT_TABLE
from myrtlespar.state_machines.client_connection import CONNECTION_TABLE
from myrtlespar.state_machines.dependency_tables import CALL_TABLE, DEPENDENCY_CONNECTION_TABLE
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
