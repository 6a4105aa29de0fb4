"""Runs fault scripts on a complete fleet of real processes on loopback and checks invariants.

For tests only: the server never imports this package.

- `script`, with `script_events` and `script_table`, parses fault scripts; `script_model` holds the result.
- `process_launcher` starts the fleet and carries out actions on it. It uses `member_process` and `member_files` (the
  processes and files of one member), `helper_processes` (the fault proxy and the fake etcd) and `admin_client`
  (commands to the management address).
- `load_generator` sends requests as client proxies do.
- `ground_truth` holds which members ran and which links worked; `observations` what members logged about each other.
- `invariants` checks membership: no running member is declared failed, and each change is noticed in time.
- `limit_invariants` checks that fleet limits were not exceeded, `order_invariants` that no order was lost or ran twice.
- `start_times`, `standstills` and `network_counters` show, for a broken limit, where starts were delayed.
- `runner` plays a script and runs the checks; `demo` plays a fixed script and prints what members observed.

The checks compare the actions of a script with what was logged or run. They report that an invariant was violated, not
the cause.
"""
