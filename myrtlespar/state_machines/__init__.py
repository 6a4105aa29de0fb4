"""The state machines of the served path.

`request_tracker` steps the attempts of requests (`attempts`) and their `idempotency_keys`, `process` is the lifecycle
of the server process, `command_log` the link to the execution engine and its commands (`engine_link`),
`dependency_calls` the calls to the dependency, `client_connection` the connections of clients, and `lost_runs` detects
runs that the execution engine lost.

The package is pure: it uses no socket, file, greenlet, clock or random source. Times and observations are arguments,
effects are return values. Each machine is a `TransitionTable`; an event that has no transition in the current state
changes nothing and is counted as `impossible.MACHINE.STATE.EVENT`. `myrtlespar.model_checker` explores these very
classes. Admission, scheduling and load shedding are decided in `myrtlespar.policy`, not here.
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
