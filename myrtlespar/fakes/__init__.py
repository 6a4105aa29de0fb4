"""Fakes of the server's peers on loopback, for the tests, `myrtlespar try`, replays and benchmarks.

They are written from the published protocols, do what a script says, faults included, and count what they received.
They do not model speed.
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
