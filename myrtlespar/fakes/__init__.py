"""Fakes of the systems around the server, on loopback, for the tests, `myrtlespar try`, replays and benchmarks.

They implement the published protocols, behave as a script tells them, faults included, and count what they receive.
They do not model the speed of the real systems.
"""

from myrtlespar.fakes.ajp_peers import FakeAjpServer, FakeGateway
from myrtlespar.fakes.server_process import ROOT, ServerProcess, server_process, settings
from myrtlespar.fakes.tcp_server import WAIT_S, FakeServer, read_exactly, until
from myrtlespar.fakes.thrift_client import ThriftClient
from myrtlespar.fakes.upstreams import FakeDependency, FakeEngine, FakeRegistry

__all__ = [
    "ROOT",
    "WAIT_S",
    "FakeAjpServer",
    "FakeDependency",
    "FakeEngine",
    "FakeGateway",
    "FakeRegistry",
    "FakeServer",
    "ServerProcess",
    "ThriftClient",
    "read_exactly",
    "server_process",
    "settings",
    "until",
]
