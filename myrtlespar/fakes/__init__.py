"""Scripted peers of the server, on loopback: what the tests, `myrtlespar try` and replays talk to.

Written from the published protocols; they do what a script says, faults included, and count what they saw. They
are no models of speed.
"""

from myrtlespar.fakes.ajp_peers import FakeAjpServer, FakeGateway
from myrtlespar.fakes.server_process import ROOT, ServerProcess, server_process, settings
from myrtlespar.fakes.tcp_server import WAIT_S, FakeServer, exactly, until
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
    "exactly",
    "server_process",
    "settings",
    "until",
]
