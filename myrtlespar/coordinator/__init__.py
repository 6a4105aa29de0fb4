"""The parts of the request coordinator, each of which owns one state; see `myrtlespar.request_coordinator`."""
