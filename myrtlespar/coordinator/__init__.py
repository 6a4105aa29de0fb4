"""The parts of the request coordinator (`myrtlespar.request_coordinator`).

- `effect_executor`: carries out the effects of the request tracker and counts answers and runs
- `tick_schedule`: the ticks that the policy requested
- `lost_run_search`: finds the runs that the execution engine lost
- `ports`: the interfaces that the coordinator needs from the network side

No part opens a socket, knows a wire format or decides on a request: `myrtlespar.policy` decides on admission, and
`myrtlespar.state_machines` on the transitions of a request.
"""
