"""Tests of a complete fleet of real processes on loopback. For tests only: the server never imports it.

- `script`, with `script_events` and `script_table`, reads fault scripts; `script_model` is the result.
- `process_launcher` starts the fleet and carries out single steps; `member_process` and `member_files` are one member's
  processes and files, `helper_processes` the fault proxy and the fake etcd, `admin_client` the operators' commands.
- `load_generator` sends requests as client proxies do.
- `ground_truth` knows which members ran and which links held; `observations` what members logged about each other.
- `invariants` checks the promises of membership: a member wrongly declared failed, or known too late.
- `limit_invariants` checks that fleet limits were not exceeded, `order_invariants` that no order was lost or ran twice.
- `runner` plays a script and runs the checks; `demo` is a fixed script for people.

The checks compare what was done with what was logged or run. They say that a promise was broken, not why.
"""
